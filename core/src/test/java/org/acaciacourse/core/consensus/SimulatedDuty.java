package org.acaciacourse.core.consensus;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Function;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.duty.CallBackoff;
import org.acaciacourse.core.duty.DutyAnswer;
import org.acaciacourse.core.duty.DutyCandidacy;
import org.acaciacourse.core.lease.LeaseHolder;
import org.acaciacourse.core.lease.LeaseTiming;
import org.acaciacourse.core.state.Command;
import org.acaciacourse.core.state.CommandResult;
import org.acaciacourse.core.state.CommandResult.LeaseResult;
import org.acaciacourse.core.state.CommandResult.UsageResult;
import org.acaciacourse.core.usage.UsageActions;
import org.acaciacourse.core.usage.UsageReport;
import org.acaciacourse.core.usage.UsageReporter;
import org.acaciacourse.core.usage.UsageTiming;
import org.acaciacourse.core.usage.UsageWindows;

/**
 * The duty of usage reports on one run of a node of a {@link DutyCluster}: the loop round
 * the state machines, in virtual time.
 */
class SimulatedDuty implements UsageActions {

	static final UsageWindows WINDOWS = new UsageWindows(1_000);

	static final long DUE_MILLIS = 10_000;

	private static final UsageTiming TIMING = new UsageTiming(WINDOWS, 1_200, 500 * SimulatedCluster.MILLISECOND, 5_000,
			10_000 * SimulatedCluster.MILLISECOND);

	private static final LeaseTiming LEASE_TIMING = new LeaseTiming(3_000 * SimulatedCluster.MILLISECOND,
			1_000 * SimulatedCluster.MILLISECOND, 20, 300 * SimulatedCluster.MILLISECOND);

	private static final String LEASE = "usage";

	private static final long TICK = 100 * SimulatedCluster.MILLISECOND;

	private static final long STEP_TIMEOUT = 2_000 * SimulatedCluster.MILLISECOND;

	private final DutyCluster cluster;

	private final SimulatedNode node;

	private final String holder;

	private final LeaseHolder lease = new LeaseHolder(LEASE_TIMING);

	private final DutyCandidacy candidacy;

	private final UsageReporter reporter;

	private long tickedAt = Long.MIN_VALUE / 2;

	private long givenUpNumber;

	private long number;

	/** The step that is waited for. */
	private long step;

	private long stepStartedAt;

	private long stepNumber;

	private boolean stepOpen;

	SimulatedDuty(DutyCluster cluster, SimulatedNode node) {
		this.cluster = cluster;
		this.node = node;
		this.holder = node.vm + "/" + cluster.nextNumber();
		long standby = (1_000 + Math.floorMod(node.id.hashCode() * 331, 2_000)) * SimulatedCluster.MILLISECOND;
		this.candidacy = new DutyCandidacy(this.holder, LEASE_TIMING.durationNanos(), standby, node.monotonic());
		this.reporter = new UsageReporter(TIMING, new CallBackoff(50, new Random(cluster.nextNumber())), this);
	}

	boolean isHeld() {
		return this.lease.fencingNumber(this.node.monotonic()).isPresent();
	}

	void tick() {
		long now = this.node.monotonic();
		if (now - this.tickedAt < TICK) {
			return;
		}
		this.tickedAt = now;
		this.candidacy.observe(this.node.state.latestLease(LEASE), now);
		this.lease.requestIfDue(now).ifPresent(this::askForLease);
		this.number = this.lease.fencingNumber(now).orElse(0);
		if (this.stepOpen && now - this.stepStartedAt > STEP_TIMEOUT) {
			this.stepOpen = false;
			this.reporter.stepFailed(this.stepNumber, now);
		}
		this.reporter.tick(this.lease.fencingNumber(now), this.cluster.timeMillis(this.node), now);
	}

	private void askForLease(long request) {
		boolean leader = this.node.canPropose();
		if (!this.candidacy.isCandidate(leader, this.node.monotonic())) {
			this.lease.refused(request, false);
			return;
		}
		long millis = LEASE_TIMING.durationNanos() / SimulatedCluster.MILLISECOND;
		propose((proposer) -> new Command.AcquireLease(proposer.proposedAt(), LEASE, this.holder, millis, this.node.vm,
				this.cluster.returnMillis(), true), (result) -> granted(request, (LeaseResult) result));
	}

	private void granted(long request, LeaseResult result) {
		if (result.code() != ResultCode.OK) {
			this.lease.refused(request, result.code() == ResultCode.LEASE_HELD);
		}
		else if (result.fencingNumber() <= this.givenUpNumber) {
			this.lease.refused(request, true);
			releaseLease(result.fencingNumber());
		}
		else {
			this.lease.granted(request, result.fencingNumber());
		}
	}

	// A command is proposed by the node that this one takes for the leader; neither the
	// request nor the result need arrive.
	private void propose(Function<SimulatedNode, Command> command, Consumer<CommandResult> onResult) {
		Optional<SimulatedNode> proposer = (this.node.canPropose()) ? Optional.of(this.node) : believedLeader();
		proposer.ifPresent((leader) -> this.cluster.call(this.node.vm, leader, (receiver) -> {
			if (receiver.canPropose()) {
				receiver.propose(command.apply(receiver),
						(result) -> this.cluster.call(receiver.vm, this.node, (back) -> {
							if (back == this.node) {
								onResult.accept(result);
							}
						}));
			}
		}));
	}

	private Optional<SimulatedNode> believedLeader() {
		return this.node.replica.status()
			.leader()
			.flatMap((leader) -> this.cluster.nodes.values()
				.stream()
				.filter((n) -> n.id.equals(leader.id()))
				.findFirst());
	}

	private long begin() {
		this.stepOpen = true;
		this.stepStartedAt = this.node.monotonic();
		this.stepNumber = this.number;
		return ++this.step;
	}

	private boolean end(long begun) {
		boolean current = this.stepOpen && begun == this.step;
		this.stepOpen &= !current;
		return current;
	}

	@Override
	public void readState() {
		long current = this.number;
		long begun = begin();
		this.cluster.after(this.node, 1, () -> {
			if (end(begun)) {
				this.reporter.stateRead(current, this.cluster.usageState(this.node.state.usage()));
			}
		});
	}

	@Override
	public void collect(long window) {
		long current = this.number;
		long begun = begin();
		this.cluster.after(this.node, 20, () -> {
			if (end(begun)) {
				boolean complete = this.cluster.random.nextInt(4) > 0;
				this.reporter.collected(current, this.cluster.counts(window, complete), complete,
						this.cluster.timeMillis(this.node));
			}
		});
	}

	@Override
	public void fixed(UsageReport report, boolean complete) {
		this.cluster.countFault((complete) ? "fixed window" : "fixed window with counts missing");
	}

	@Override
	public void freeze(UsageReport report, long reportedThrough) {
		long current = this.number;
		long begun = begin();
		propose((proposer) -> new Command.FreezeUsage(proposer.proposedAt(), report, reportedThrough), (result) -> {
			if (end(begun)) {
				this.reporter.frozen(current, report.window(), ((UsageResult) result).report());
			}
		});
	}

	@Override
	public void send(UsageReport report, long fencingNumber) {
		// The process may be frozen between the decision and the check before the write.
		this.cluster.after(this.node, 1 + this.cluster.random.nextInt(200), () -> {
			if (this.lease.fencingNumber(this.node.monotonic()).orElse(0) != fencingNumber) {
				answered(report, fencingNumber, DutyAnswer.NOT_SENT);
				return;
			}
			this.cluster.callPlatform(this.node, fencingNumber, report,
					(answer) -> answered(report, fencingNumber, answer));
		});
	}

	private void answered(UsageReport report, long fencingNumber, DutyAnswer answer) {
		this.cluster.countFault("call " + answer.label());
		this.reporter.answered(fencingNumber, report.window(), answer, this.node.monotonic());
	}

	@Override
	public void release(long fencingNumber, long abstainNanos) {
		this.candidacy.abstain(abstainNanos, this.node.monotonic());
		this.lease.release(this.node.monotonic());
		this.givenUpNumber = fencingNumber;
		releaseLease(fencingNumber);
	}

	/** Release the lease as a process does that stops. */
	void releaseByHand() {
		this.lease.release(this.node.monotonic()).ifPresent(this::releaseLease);
	}

	private void releaseLease(long fencingNumber) {
		propose((proposer) -> new Command.ReleaseLease(proposer.proposedAt(), LEASE, this.holder, fencingNumber),
				(result) -> {
				});
	}

	/** What several entry VMs have counted. */
	static Map<String, Long> counts(long window, Random random, boolean complete) {
		Map<String, Long> counts = new HashMap<>();
		for (int i = 0; i < 4; i++) {
			long truth = 10 + Math.floorMod(window * 31 + i * 7, 50);
			counts.put("customer-" + i, (complete) ? truth : truth - 1 - random.nextInt(5));
		}
		return counts;
	}

}
