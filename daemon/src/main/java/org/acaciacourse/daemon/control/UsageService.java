package org.acaciacourse.daemon.control;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;

import org.acaciacourse.core.clock.MedianClock;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.consensus.Member;
import org.acaciacourse.core.state.Command;
import org.acaciacourse.core.state.CommandResult.UsageResult;
import org.acaciacourse.core.state.ControlStateSnapshot.UsageState;
import org.acaciacourse.core.usage.UsageCollector;
import org.acaciacourse.core.usage.UsageReport;
import org.acaciacourse.core.usage.UsageWindows;
import org.acaciacourse.daemon.codec.UsageCodec;
import org.acaciacourse.daemon.duty.UsageStore;
import org.acaciacourse.daemon.inner.SharedKey;
import org.acaciacourse.protocol.generated.FreezeUsageCommand;
import org.acaciacourse.protocol.generated.FreezeUsageReply;
import org.acaciacourse.protocol.generated.PollReply;
import org.acaciacourse.protocol.generated.PollRequest;
import org.acaciacourse.protocol.generated.RunUsageRecord;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The usage that entry VMs tell with their polls, on each control VM, and the access of
 * the VM that reports it to what the others know.
 * <p>
 * Thread safe.
 */
final class UsageService implements UsageStore {

	private static final Logger LOGGER = LogManager.getLogger(UsageService.class);

	/** Clocks of VMs may differ by that much. */
	private static final long CLOCK_TOLERANCE_MILLIS = 50;

	private final UsageCollector collector = new UsageCollector();

	private final MedianClock clock = new MedianClock();

	private final UsageWindows windows;

	private final ReplicaLoop loop;

	private final Member self;

	private final SharedKey key;

	private final Executor peerCalls;

	private final LeaderProposals proposals;

	UsageService(UsageWindows windows, ReplicaLoop loop, Member self, SharedKey key, Executor peerCalls) {
		this.windows = windows;
		this.loop = loop;
		this.self = self;
		this.key = key;
		this.peerCalls = peerCalls;
		this.proposals = new LeaderProposals(loop, peerCalls);
	}

	/**
	 * Record the counts and the time of day of an entry VM.
	 * @param poll its poll
	 */
	void recordPoll(PollRequest poll) {
		long now = System.nanoTime();
		if (poll.isSetWallMillis()) {
			this.clock.record(poll.getVm(), poll.getWallMillis(), now);
		}
		UsageCodec.decode(poll).ifPresent((usage) -> this.collector.record(usage, now));
	}

	/**
	 * Write what entry VMs need to know to count usage.
	 * @param reply takes it
	 * @param frozenThrough the latest window that is fixed
	 */
	void writeTo(PollReply reply, long frozenThrough) {
		this.collector.frozen(frozenThrough);
		reply.setTimeMillis(timeMillis()).setUsageFrozenThrough(frozenThrough);
	}

	/**
	 * Return what entry VMs have told this VM, for another control VM.
	 * @return the runs of entry VMs
	 */
	List<RunUsageRecord> known() {
		return this.collector.known(System.nanoTime()).stream().map(UsageCodec::encode).toList();
	}

	@Override
	public long timeMillis() {
		return this.clock.estimate(System.currentTimeMillis(), System.nanoTime());
	}

	@Override
	public CompletionStage<UsageState> state() {
		return this.loop.query((state) -> {
			UsageState usage = state.usage();
			this.collector.frozen(usage.frozenThrough());
			return usage;
		});
	}

	@Override
	public CompletionStage<Collected> collect(long window) {
		List<CompletableFuture<Void>> calls = this.loop.views()
			.latest()
			.membership()
			.members()
			.stream()
			.filter((member) -> !member.id().equals(this.self.id()))
			.map((member) -> CompletableFuture.runAsync(() -> fetch(member), this.peerCalls))
			.toList();
		return CompletableFuture.allOf(calls.toArray(CompletableFuture[]::new))
			.thenApply((all) -> new Collected(this.collector.total(window),
					this.collector.incomplete(this.windows.end(window) + CLOCK_TOLERANCE_MILLIS, System.nanoTime())));
	}

	private void fetch(Member member) {
		Optional<List<RunUsageRecord>> known = PeerCalls.call(member.address(),
				(c) -> c.control().usage(this.key.text()));
		if (known.isEmpty()) {
			LOGGER.info("control VM {} does not tell the usage that it knows", member.vm());
			return;
		}
		this.collector.merge(known.get().stream().map(UsageCodec::decode).toList(), System.nanoTime());
	}

	@Override
	public CompletionStage<UsageResult> freeze(UsageReport report, long reportedThrough) {
		FreezeUsageCommand command = new FreezeUsageCommand(UsageCodec.encode(report), reportedThrough);
		return this.proposals
			.propose((state, now) -> new Command.FreezeUsage(now, report, reportedThrough), UsageResult.class,
					(leader) -> leader.control().freezeUsage(this.key.text(), command), UsageService::result)
			.thenApply((frozen) -> {
				this.collector.frozen(report.window());
				return frozen;
			});
	}

	private static Optional<UsageResult> result(FreezeUsageReply reply) {
		Optional<UsageReport> fixed = Optional.ofNullable(reply.getUsage()).map(UsageCodec::decode);
		return Optional.of(new UsageResult(ResultCode.OK, fixed))
			.filter((result) -> reply.getResult().getCode() == ResultCode.OK.number());
	}

}
