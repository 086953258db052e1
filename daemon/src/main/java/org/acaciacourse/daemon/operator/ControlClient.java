package org.acaciacourse.daemon.operator;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.vavr.control.Either;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.manifest.ManifestDocument;
import org.acaciacourse.daemon.codec.ManifestCodec;
import org.acaciacourse.daemon.link.LeaderClient;
import org.acaciacourse.protocol.generated.ApplyReply;
import org.acaciacourse.protocol.generated.ApplyRequest;
import org.acaciacourse.protocol.generated.Result;
import org.acaciacourse.protocol.generated.StatusReply;
import org.acaciacourse.protocol.generated.TraceContext;

/**
 * An operator's calls to the control VMs. Both are idempotent: a manifest with the same
 * number and digest gets the same reply again.
 * <p>
 * Not thread safe.
 */
final class ControlClient implements AutoCloseable {

	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(15);

	private final LeaderClient client;

	private final String key;

	ControlClient(List<String> controls, String key) {
		this.client = new LeaderClient(controls);
		this.key = key;
	}

	static Either<ResultCode, ControlClient> of(OperatorOptions options) {
		return options.controls().flatMap((controls) -> options.key().map((key) -> new ControlClient(controls, key)));
	}

	/**
	 * Submit a complete manifest.
	 * @param document the manifest
	 * @param operator the name of the operator
	 * @return the reply; its code says whether the manifest is in force
	 * @throws InterruptedException if the thread is interrupted
	 */
	ApplyReply apply(ManifestDocument document, String operator) throws InterruptedException {
		ApplyRequest request = new ApplyRequest(this.key, operator, ManifestCodec.encode(document),
				new TraceContext(""));
		return this.client.call((c) -> c.apply(request), ApplyReply::getResult, CALL_TIMEOUT)
			.orElseGet(() -> new ApplyReply(unreachable(), 0, ""));
	}

	/**
	 * Fetch the status.
	 * @return the status; its code says whether it is available
	 * @throws InterruptedException if the thread is interrupted
	 */
	StatusReply status() throws InterruptedException {
		Optional<StatusReply> reply = this.client.call((c) -> c.status(this.key), StatusReply::getResult, CALL_TIMEOUT);
		return reply.orElseGet(() -> new StatusReply().setResult(unreachable()));
	}

	private static Result unreachable() {
		return new Result(ResultCode.CONTROL_UNREACHABLE.number(), ResultCode.CONTROL_UNREACHABLE.text());
	}

	static ResultCode codeOf(Result result) {
		return ResultCode.ofNumber(result.getCode()).orElse(ResultCode.INTERNAL);
	}

	@Override
	public void close() {
		this.client.close();
	}

}
