package org.acaciacourse.core.consensus;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.acaciacourse.core.duty.DutyAnswer;
import org.acaciacourse.core.usage.UsageReport;

/**
 * A platform that takes usage reports and checks who makes them. It remembers the highest
 * fencing number, and only calls that are not refused because of it break an invariant.
 */
class SimulatedPlatform {

	/** The time within which the duty must not go to another VM and back. */
	static final long LEASE_NANOS = 3_000 * SimulatedCluster.MILLISECOND;

	final Map<Long, UsageReport> accepted = new HashMap<>();

	final Map<Long, Long> acceptedAt = new HashMap<>();

	final Set<String> cutOff = new HashSet<>();

	final Map<Long, String> holders = new HashMap<>();

	final List<String> acts = new ArrayList<>();

	private final Map<String, Long> lastActs = new HashMap<>();

	private String lastActor = "";

	private long highestNumber;

	int calls;

	/**
	 * Carry out a call.
	 * @param vm the VM that made it
	 * @param number its fencing number
	 * @param report the usage
	 * @param now the time
	 * @return the answer
	 */
	DutyAnswer carryOut(String vm, long number, UsageReport report, long now) {
		this.calls++;
		if (number < this.highestNumber) {
			return DutyAnswer.FENCED;
		}
		this.highestNumber = number;
		String holder = this.holders.putIfAbsent(number, vm);
		History.check(holder == null || holder.equals(vm), "fencing number " + number + " sent by two VMs");
		checkOrder(vm, now);
		UsageReport previous = this.accepted.putIfAbsent(report.window(), report);
		History.check(previous == null || previous.equals(report),
				"two reports of window " + report.window() + " with different counts");
		this.acceptedAt.putIfAbsent(report.window(), now);
		return DutyAnswer.ACCEPTED;
	}

	private void checkOrder(String vm, long now) {
		Long last = this.lastActs.put(vm, now);
		boolean returned = last != null && !vm.equals(this.lastActor);
		History.check(!returned || now - last >= LEASE_NANOS,
				"the duty went from " + vm + " to " + this.lastActor + " and back within the lease");
		this.lastActor = vm;
		this.acts.add(vm);
	}

	/** Whether another system has used a higher number. */
	void raiseNumber(long number) {
		this.highestNumber = Math.max(this.highestNumber, number);
	}

	long highestNumber() {
		return this.highestNumber;
	}

}
