package org.acaciacourse.daemon.link;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.state.ClaimKey;
import org.acaciacourse.core.state.ClaimOutcome;
import org.acaciacourse.daemon.codec.CommandCodec;
import org.acaciacourse.daemon.inner.RunId;
import org.acaciacourse.protocol.generated.ClaimCommand;
import org.acaciacourse.protocol.generated.ClaimReply;
import org.acaciacourse.protocol.generated.ClassReport;
import org.acaciacourse.protocol.generated.CompleteClaimCommand;
import org.acaciacourse.protocol.generated.ReportCrashCommand;
import org.acaciacourse.protocol.generated.TraceContext;

/**
 * A control link over Thrift. One thread polls for the configuration; claims and
 * completions each have their own threads and bounded queue, so that completions that
 * wait for a quorum do not delay the refusal of claims.
 * <p>
 * Each claim has a unique owner: the identifier of this run of the process and a number.
 * The owner distinguishes a retry of the same claim from the claim of a later request.
 * <p>
 * Thread safe.
 */
public final class ThriftControlLink implements ControlLink {

	private static final Duration CLAIM_TIMEOUT = Duration.ofSeconds(4);

	private static final Duration COMPLETION_CALL_TIMEOUT = Duration.ofSeconds(4);

	private static final int CLAIM_THREADS = 4;

	private static final int COMPLETE_THREADS = 2;

	private final LinkOptions options;

	private final Optional<UsageMeter> usage;

	private final boolean tellsDemand;

	private final String runId;

	private final AtomicLong claimNumber = new AtomicLong();

	private final Map<ClaimKey, String> owners = new ConcurrentHashMap<>();

	private final LeaderCallExecutor claimExecutor;

	private final LeaderCallExecutor completionExecutor;

	private Optional<ConfigurationPoller> poller = Optional.empty();

	/**
	 * Create a link.
	 * @param options the options of the link
	 */
	public ThriftControlLink(LinkOptions options) {
		this(options, Optional.empty());
	}

	/**
	 * Create a link that also tells control the usage of customers.
	 * @param options the options of the link
	 * @param usage counts the usage, if it is reported
	 */
	public ThriftControlLink(LinkOptions options, Optional<UsageMeter> usage) {
		this(options, usage, true);
	}

	/**
	 * Create a link of a system that may leave the demand of callers alone.
	 * @param options the options of the link
	 * @param usage counts the usage, if it is reported
	 * @param tellsDemand whether control is told the demand, as it orders endpoints
	 */
	public ThriftControlLink(LinkOptions options, Optional<UsageMeter> usage, boolean tellsDemand) {
		this.options = options;
		this.usage = usage;
		this.tellsDemand = tellsDemand;
		this.runId = RunId.next(options.vm());
		this.claimExecutor = new LeaderCallExecutor("control-claim", options.controls(), CLAIM_THREADS);
		this.completionExecutor = new LeaderCallExecutor("control-complete", options.controls(), COMPLETE_THREADS);
	}

	@Override
	public void start(Listener listener, Supplier<List<ClassReport>> reports) {
		start(listener, reports, Optional.empty());
	}

	@Override
	public void start(Listener listener, Supplier<List<ClassReport>> reports, DemandSource demand) {
		start(listener, reports, Optional.of(demand).filter((source) -> this.tellsDemand));
	}

	private synchronized void start(Listener listener, Supplier<List<ClassReport>> reports,
			Optional<DemandSource> demand) {
		this.poller = Optional
			.of(new ConfigurationPoller(this.options, this.runId, listener, reports, this.usage, demand));
		this.poller.get().start();
	}

	@Override
	public synchronized void announceLeaving() {
		this.poller.ifPresent(ConfigurationPoller::leaving);
	}

	@Override
	public CompletionStage<ClaimResult> claim(ClaimKey key, String contentHash, String traceparent) {
		String owner = this.runId + "#" + this.claimNumber.incrementAndGet();
		ClaimCommand command = new ClaimCommand(key.customer(), key.idempotencyKey(), contentHash, owner);
		TraceContext trace = new TraceContext(traceparent);
		CompletableFuture<ClaimResult> result = new CompletableFuture<>();
		result.completeOnTimeout(unavailable(), CLAIM_TIMEOUT.toMillis() + 500, TimeUnit.MILLISECONDS);
		boolean accepted = this.claimExecutor.submit((client) -> {
			if (result.isDone()) {
				return;
			}
			Optional<ClaimReply> reply = client.call((c) -> c.claim(this.options.key().text(), command, trace),
					ClaimReply::getResult, CLAIM_TIMEOUT);
			deliver(key, owner, reply.map(ThriftControlLink::claimResult).orElse(unavailable()), result);
		});
		if (!accepted) {
			result.complete(unavailable());
		}
		return result;
	}

	private void deliver(ClaimKey key, String owner, ClaimResult claim, CompletableFuture<ClaimResult> result) {
		if (claim.granted()) {
			this.owners.put(key, owner);
		}
		boolean delivered = result.complete(claim);
		boolean outcomeUnknown = claim.code() == ResultCode.CLAIM_UNAVAILABLE;
		if (outcomeUnknown || (claim.granted() && !delivered)) {
			// The claim may be committed, but its request will not be sent. Without this
			// completion the key would stay in progress and a retry by the caller would
			// be refused.
			complete(key, owner, ClaimOutcome.NOT_RUN, new byte[0]);
		}
	}

	private static ClaimResult claimResult(ClaimReply reply) {
		ResultCode code = ResultCode.ofNumber(reply.getResult().getCode()).orElse(ResultCode.INTERNAL);
		if (code == ResultCode.NO_QUORUM || code == ResultCode.OUTCOME_UNKNOWN) {
			return unavailable();
		}
		Optional<byte[]> response = (reply.isSetAnswer()) ? Optional.of(reply.getAnswer()) : Optional.empty();
		return new ClaimResult(reply.isGranted(), code, CommandCodec.outcome(reply.getOutcome()), response);
	}

	private static ClaimResult unavailable() {
		return new ClaimResult(false, ResultCode.CLAIM_UNAVAILABLE, ClaimOutcome.NOT_RUN, Optional.empty());
	}

	@Override
	public CompletionStage<ResultCode> complete(ClaimKey key, ClaimOutcome outcome, byte[] response) {
		String owner = this.owners.remove(key);
		if (owner == null) {
			return CompletableFuture.completedFuture(ResultCode.FENCED);
		}
		return complete(key, owner, outcome, response);
	}

	private CompletionStage<ResultCode> complete(ClaimKey key, String owner, ClaimOutcome outcome, byte[] response) {
		CompleteClaimCommand command = new CompleteClaimCommand();
		command.setCustomer(key.customer()).setIdempotencyKey(key.idempotencyKey()).setOwner(owner);
		command.setOutcome(outcome.ordinal()).setAnswer(response);
		CompletableFuture<ResultCode> result = new CompletableFuture<>();
		TraceContext trace = new TraceContext("");
		boolean accepted = this.completionExecutor.submit((client) -> {
			ResultCode code = ResultCode.NO_QUORUM;
			while (code == ResultCode.NO_QUORUM || code == ResultCode.OUTCOME_UNKNOWN) {
				code = client
					.call((c) -> c.completeClaim(this.options.key().text(), command, trace), ClaimReply::getResult,
							COMPLETION_CALL_TIMEOUT)
					.flatMap((reply) -> ResultCode.ofNumber(reply.getResult().getCode()))
					.orElse(ResultCode.NO_QUORUM);
			}
			result.complete(code);
		});
		if (!accepted) {
			result.complete(ResultCode.CLAIM_UNAVAILABLE);
		}
		return result;
	}

	@Override
	public void reportCrash(long contentHash, int crashes) {
		ReportCrashCommand command = new ReportCrashCommand(contentHash, crashes);
		this.completionExecutor.submit((client) -> client.call((c) -> c.reportCrash(this.options.key().text(), command),
				(result) -> result, COMPLETION_CALL_TIMEOUT));
	}

	@Override
	public synchronized void close() {
		this.poller.ifPresent(ConfigurationPoller::close);
		this.claimExecutor.close();
		this.completionExecutor.close();
	}

}
