package org.acaciacourse.daemon.control;

import java.util.List;
import java.util.stream.Collectors;

import io.vavr.control.Either;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.ini.Problem;
import org.acaciacourse.core.manifest.ManifestDocument;
import org.acaciacourse.core.manifest.ManifestParser;
import org.acaciacourse.core.model.Manifest;
import org.acaciacourse.core.route.RouteTable;
import org.acaciacourse.core.route.RouteTableParser;
import org.acaciacourse.core.state.Command;
import org.acaciacourse.core.state.CommandResult;
import org.acaciacourse.core.state.CommandResult.ManifestResult;
import org.acaciacourse.daemon.codec.ManifestCodec;
import org.acaciacourse.protocol.generated.ApplyReply;
import org.acaciacourse.protocol.generated.ApplyRequest;
import org.acaciacourse.protocol.generated.Result;

/**
 * Applies complete manifests of operators. The delta is computed on the replica's thread
 * from the state at the time of the proposal. If another manifest is committed in
 * between, the delta is rejected and computed again.
 * <p>
 * Thread safe.
 */
final class ApplyService {

	private static final int MAX_ATTEMPTS = 10;

	private final ReplicaLoop loop;

	ApplyService(ReplicaLoop loop) {
		this.loop = loop;
	}

	ApplyReply apply(ApplyRequest request) {
		ManifestDocument document = ManifestCodec.decode(request.getSections());
		Either<List<Problem>, Long> checked = numberOf(document);
		if (checked.isLeft()) {
			String detail = checked.getLeft().stream().map(Problem::toString).collect(Collectors.joining("; "));
			return new ApplyReply(Replies.result(ResultCode.INVALID_MANIFEST).setDetail(detail), 0, "");
		}
		return commit(checked.get(), document, request.getOperatorName());
	}

	private static Either<List<Problem>, Long> numberOf(ManifestDocument document) {
		return (RouteTableParser.isRouting(document)) ? new RouteTableParser().parse(document).map(RouteTable::number)
				: ManifestParser.manifest(document).map(Manifest::number);
	}

	/**
	 * Commit a manifest.
	 * @param number its number
	 * @param document the manifest, which is valid
	 * @param operator the name of the operator who submits it
	 * @return the reply
	 */
	ApplyReply commit(long number, ManifestDocument document, String operator) {
		String digest = document.digest();
		LoopEvent.CommandFactory factory = (state, now) -> new Command.PutManifest(now, number, digest,
				state.manifestDigest(), state.manifestDocument().deltaTo(document), operator);
		for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
			Either<ControlException, CommandResult> outcome = Replies.await(this.loop.propose(factory));
			if (outcome.isLeft()) {
				return new ApplyReply(Replies.result(outcome.getLeft()), 0, "");
			}
			ManifestResult result = (ManifestResult) outcome.get();
			if (!result.baseChanged()) {
				Result struct = Replies.result(result.code());
				return new ApplyReply(struct, result.number(), result.digest());
			}
		}
		return new ApplyReply(Replies.result(ResultCode.NO_QUORUM), 0, "");
	}

}
