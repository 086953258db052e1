package org.acaciacourse.daemon.control;

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
 * Hands manifests in and reads the one in force, at any control VM: what only the leader
 * can do is passed on to it.
 * <p>
 * Thread safe. Calls block until there is an outcome.
 */
public final class ConfigurationStore {

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
	 * Hand a manifest in.
	 * @param document the manifest
	 * @param operator who hands it in
	 * @return {@link ResultCode#OK} once it is durable on a quorum,
	 * {@link ResultCode#MANIFEST_OUTDATED} or {@link ResultCode#MANIFEST_CONFLICT} if a
	 * manifest with its number or a higher one is, or why the outcome is another
	 */
	public ResultCode apply(ManifestDocument document, String operator) {
		ApplyRequest request = new ApplyRequest(this.operatorKey.text(), operator, ManifestCodec.encode(document),
				new TraceContext(""));
		Optional<Member> leader = this.loop.views().latest().status().leader();
		if (leader.isEmpty()) {
			return ResultCode.NO_QUORUM;
		}
		Optional<ApplyReply> reply = (leader.get().id().equals(this.self.id()))
				? Optional.of(this.applyService.apply(request))
				: PeerCalls.call(leader.get().address(), (c) -> c.control().apply(request));
		return reply.flatMap((r) -> ResultCode.ofNumber(r.getResult().getCode())).orElse(ResultCode.OUTCOME_UNKNOWN);
	}

	/**
	 * Read the manifest in force.
	 * @return the manifest that is the newest at some moment of this call, empty before
	 * the first one; or {@link ResultCode#NO_QUORUM} if that is not certain
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
		return Replies.await(this.loop.query((state) -> state.document())).mapLeft(ControlException::code);
	}

}
