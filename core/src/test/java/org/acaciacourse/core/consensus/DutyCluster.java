package org.acaciacourse.core.consensus;

import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import org.acaciacourse.core.duty.DutyAnswer;
import org.acaciacourse.core.state.ControlStateSnapshot.UsageState;
import org.acaciacourse.core.usage.UsageReport;

/**
 * A cluster whose nodes also report usage to a simulated platform.
 */
class DutyCluster extends SimulatedCluster {

	private static final long EPOCH_MILLIS = 1_700_000_000_000L;

	private static final long ANSWER_MILLIS = 5;

	private static final long CALL_TIMEOUT_MILLIS = 2_000;

	final SimulatedPlatform platform = new SimulatedPlatform();

	private final Map<SimulatedNode, SimulatedDuty> duties = new IdentityHashMap<>();

	private final Map<String, Long> clockErrors = new HashMap<>();

	/** The share of calls that get no answer and are carried out seconds later. */
	double lateShare;

	Optional<DutyAnswer> platformFault = Optional.empty();

	DutyCluster(long seed, int size, Faults faults) {
		super(seed, size, faults);
	}

	@Override
	void eventProcessed() {
		this.duties.keySet().removeIf((node) -> this.nodes.get(node.vm) != node || !node.up);
		this.nodes.values()
			.stream()
			.filter((node) -> node.up && node.frozenUntil <= this.now)
			.forEach((node) -> duty(node).tick());
	}

	SimulatedDuty duty(SimulatedNode node) {
		return this.duties.computeIfAbsent(node, (run) -> new SimulatedDuty(this, run));
	}

	Optional<SimulatedNode> dutyHolder() {
		return this.nodes.values().stream().filter((node) -> node.up && duty(node).isHeld()).findFirst();
	}

	long trueMillis() {
		return EPOCH_MILLIS + this.now / MILLISECOND;
	}

	long timeMillis(SimulatedNode node) {
		return trueMillis() + this.clockErrors.getOrDefault(node.vm, 0L);
	}

	void setClock(SimulatedNode node, long errorMillis) {
		this.clockErrors.put(node.vm, errorMillis);
	}

	long returnMillis() {
		return SimulatedPlatform.LEASE_NANOS / MILLISECOND * 11 / 10;
	}

	UsageReport counts(long window, boolean complete) {
		return new UsageReport(window, SimulatedDuty.counts(window, this.random, complete));
	}

	/** Returns what a new holder reads; a mutant may count anew instead. */
	UsageState usageState(UsageState replicated) {
		return replicated;
	}

	void after(SimulatedNode node, long millis, Runnable action) {
		scheduleAt(this.now + millis * MILLISECOND, node.vm, () -> {
			if (this.nodes.get(node.vm) == node && node.up) {
				action.run();
			}
		});
	}

	void callPlatform(SimulatedNode node, long number, UsageReport report, Consumer<DutyAnswer> onAnswer) {
		boolean cut = this.platform.cutOff.contains(node.vm);
		boolean late = this.random.nextDouble() < this.lateShare;
		if (cut || late || this.platformFault.equals(Optional.of(DutyAnswer.UNANSWERED))) {
			countFault((late) ? "call carried out late" : "call lost");
			if (late && !cut) {
				runAfter(2_000 + this.random.nextInt(10_000),
						() -> this.platform.carryOut(node.vm, number, report, this.now));
			}
			after(node, CALL_TIMEOUT_MILLIS, () -> onAnswer.accept(DutyAnswer.UNANSWERED));
			return;
		}
		DutyAnswer answer = this.platformFault
			.orElseGet(() -> this.platform.carryOut(node.vm, number, report, this.now));
		after(node, ANSWER_MILLIS, () -> onAnswer.accept(answer));
	}

}
