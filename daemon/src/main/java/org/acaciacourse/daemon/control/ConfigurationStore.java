package org.acaciacourse.daemon.control;

import java.time.Duration;
import java.util.Optional;

import io.vavr.control.Either;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.consensus.Member;
import org.acaciacourse.core.manifest.ManifestDocument;
import org.acaciacourse.daemon.codec.ManifestCodec;
import org.acaciacourse.daemon.inner.SharedKey;
import org.acaciacourse.protocol.generated.ApplyReply;
import org.acaciacourse.protocol.generated.ApplyRequest;
import org.acaciacourse.protocol.generated.TraceContext;

/**
 * Submits manifests and reads the current one, at any control VM: operations that only
 * the leader can serve are forwarded to it.
 * <p>
 * Thread safe. Calls block until the outcome is known or the wait times out.
 */
public final class ConfigurationStore {

	/** For how long the leader may process a section of a manifest, in milliseconds. */
	private static final long MILLIS_PER_SECTION = 1;

	private final ReplicaLoop loop;

	private final Member self;

	private final ApplyService applyService;

	private final LinearizableRead read;

	private final SharedKey operatorKey;

	ConfigurationStore(ReplicaLoop loop, Member self, ApplyService applyService, LinearizableRead read,
			SharedKey operatorKey) {
		this.loop = loop;
		this.self = self;
		this.applyService = applyService;
		this.read = read;
		this.operatorKey = operatorKey;
	}

	/**
	 * Submit a manifest. One that is overtaken on this VM is not sent to the leader.
	 * @param number the number of the manifest
	 * @param document the manifest, which is valid
	 * @param operator the name of the operator who submits it
	 * @return {@link ResultCode#OK} once it is durable on a quorum,
	 * {@link ResultCode#MANIFEST_OUTDATED} or {@link ResultCode#MANIFEST_CONFLICT} if a
	 * manifest with the same or a higher number is already durable, or the code of
	 * another failure
	 */
	public ResultCode apply(long number, ManifestDocument document, String operator) {
		ReplicaView view = this.loop.views().latest();
		if (number < view.number()) {
			return ResultCode.MANIFEST_OUTDATED;
		}
		if (number == view.number()) {
			return (document.digest().equals(view.digest())) ? ResultCode.OK : ResultCode.MANIFEST_CONFLICT;
		}
		Optional<Member> leader = view.status().leader();
		if (leader.isEmpty()) {
			return ResultCode.NO_QUORUM;
		}
		Optional<ApplyReply> reply = (leader.get().id().equals(this.self.id()))
				? Optional.of(this.applyService.commit(number, document, operator))
				: forward(leader.get().address(), document, operator);
		return reply.flatMap((r) -> ResultCode.ofNumber(r.getResult().getCode())).orElse(ResultCode.OUTCOME_UNKNOWN);
	}

	private Optional<ApplyReply> forward(String leader, ManifestDocument document, String operator) {
		ApplyRequest request = new ApplyRequest(this.operatorKey.text(), operator, ManifestCodec.encode(document),
				new TraceContext(""));
		Duration timeout = PeerCalls.TIMEOUT.plusMillis(MILLIS_PER_SECTION * request.getSectionsSize());
		return PeerCalls.call(leader, timeout, (c) -> c.control().apply(request));
	}

	/**
	 * Read the current manifest (a linearizable read).
	 * @return the manifest that was the latest at some moment during this call, empty
	 * before the first one; or {@link ResultCode#NO_QUORUM} if this cannot be ensured
	 */
	public Either<ResultCode, ManifestDocument> latest() {
		try {
			if (!this.read.await()) {
				return Either.left(ResultCode.NO_QUORUM);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return Either.left(ResultCode.STOPPING);
		}
		return Replies.await(this.loop.query((state) -> state.manifestDocument())).mapLeft(ControlException::code);
	}

}
