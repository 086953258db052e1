package org.acaciacourse.daemon.control;

import java.util.Optional;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.consensus.Member;
import org.acaciacourse.daemon.inner.SharedKey;
import org.acaciacourse.protocol.generated.ReadIndexReply;

/**
 * Prepares this replica's state for a linearizable read: requests the read index from the
 * leader and waits until this replica has applied it. Followers serve such reads too.
 * <p>
 * Thread safe.
 */
final class LinearizableRead {

	private static final long APPLY_WAIT_MILLIS = 3000;

	/**
	 * How long a read waits for a leader: about the length of an election after a start.
	 * An entry VM that is refused pauses, then polls another control VM, which has no
	 * leader either.
	 */
	private static final long LEADER_WAIT_MILLIS = 150;

	private final ReplicaLoop loop;

	private final Member self;

	private final SharedKey key;

	LinearizableRead(ReplicaLoop loop, Member self, SharedKey key) {
		this.loop = loop;
		this.self = self;
		this.key = key;
	}

	/**
	 * Wait until this replica has applied everything that was committed before this call.
	 * @return whether it has
	 * @throws InterruptedException if the thread is interrupted
	 */
	boolean await() throws InterruptedException {
		this.loop.views().await((view) -> view.status().leader().isPresent(), LEADER_WAIT_MILLIS);
		Optional<Long> index = fetchReadIndex();
		return index.isPresent()
				&& this.loop.views().await((view) -> view.appliedIndex() >= index.get(), APPLY_WAIT_MILLIS);
	}

	private Optional<Long> fetchReadIndex() {
		Optional<Member> leader = this.loop.views().latest().status().leader();
		if (leader.isEmpty()) {
			return Optional.empty();
		}
		if (leader.get().id().equals(this.self.id())) {
			return Replies.await(this.loop.readIndex()).toJavaOptional();
		}
		return PeerCalls.call(leader.get().address(), (c) -> c.control().readIndex(this.key.text()))
			.filter((reply) -> reply.getResult().getCode() == ResultCode.OK.number())
			.map(ReadIndexReply::getIndex);
	}

}
