package org.acaciacourse.daemon.control;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.consensus.Member;
import org.acaciacourse.daemon.codec.ReplicaCodec;
import org.acaciacourse.daemon.inner.SharedKey;
import org.acaciacourse.protocol.generated.MemberRecord;
import org.acaciacourse.protocol.generated.PeerDescription;
import org.acaciacourse.protocol.generated.ReplicaEnvelope;
import org.acaciacourse.protocol.generated.ReplicaService;
import org.acaciacourse.protocol.generated.Result;
import org.apache.thrift.TException;

/**
 * Serves the other replicas. Until bootstrap is complete it only describes this replica
 * and accepts no messages, so that the replica cannot vote before it knows whether a log
 * exists.
 * <p>
 * Thread safe.
 */
final class ReplicaHandler implements ReplicaService.Iface {

	private final SharedKey key;

	private final Member self;

	private volatile Optional<Running> running = Optional.empty();

	ReplicaHandler(SharedKey key, Member self) {
		this.key = key;
		this.self = self;
	}

	/**
	 * Start to accept messages, once bootstrap is complete.
	 * @param loop the replica's loop
	 * @param outbox records the addresses of senders
	 */
	void start(ReplicaLoop loop, PeerOutbox outbox) {
		this.running = Optional.of(new Running(loop, outbox));
	}

	@Override
	public void deliver(String sharedKey, List<ReplicaEnvelope> messages, String senderAddress) throws TException {
		checkKey(sharedKey);
		Running target = this.running.orElseThrow(() -> new TException("not founded"));
		for (ReplicaEnvelope envelope : messages) {
			// The address may have belonged to a replica whose disk was lost. This
			// replica must not respond to messages that are addressed to that one.
			if (envelope.getReceiver() == this.self.id().value()) {
				ReplicaCodec.decode(envelope).forEach((message) -> {
					target.outbox().recordAddress(message.from(), senderAddress);
					target.loop().receive(message);
				});
			}
		}
	}

	@Override
	public Result join(String sharedKey, MemberRecord member) throws TException {
		checkKey(sharedKey);
		if (this.running.isEmpty()) {
			return Replies.result(ResultCode.NO_QUORUM);
		}
		CompletableFuture<Boolean> noted = this.running.get().loop().join(ReplicaCodec.decode(member));
		return Replies.await(noted)
			.fold(Replies::result, (ok) -> Replies.result((ok) ? ResultCode.OK : ResultCode.NO_QUORUM));
	}

	@Override
	public PeerDescription describe(String sharedKey) throws TException {
		checkKey(sharedKey);
		PeerDescription description = new PeerDescription(ReplicaCodec.encode(this.self), this.running.isPresent());
		this.running.flatMap((target) -> target.loop().views().latest().status().leader())
			.ifPresent((leader) -> description.setLeaderAddress(leader.address()));
		return description;
	}

	private void checkKey(String sharedKey) throws TException {
		if (!this.key.matches(sharedKey)) {
			throw new TException("wrong key");
		}
	}

	/** The receivers of incoming messages. */
	private record Running(ReplicaLoop loop, PeerOutbox outbox) {
	}

}
