package org.acaciacourse.core.consensus;

import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.state.ClaimKey;
import org.acaciacourse.core.state.ClaimOutcome;
import org.acaciacourse.core.state.Command;
import org.acaciacourse.core.state.CommandResult;
import org.acaciacourse.core.state.CommandResult.ClaimResult;
import org.acaciacourse.core.state.CommandResult.LeaseResult;
import org.acaciacourse.core.state.CommandResult.ManifestResult;
import org.acaciacourse.core.state.ControlState;

/**
 * The history of all nodes of a {@link SimulatedCluster} as seen from outside, and the
 * invariants over it. A violation is thrown as {@link Violation}.
 */
class History {

	private final Map<Long, ReplicaId> leaders = new HashMap<>();

	private final Map<Long, LogEntry> committed = new HashMap<>();

	private final Map<Long, String> results = new HashMap<>();

	private final Map<Long, String> fencing = new HashMap<>();

	private final Set<ClaimKey> running = new HashSet<>();

	private final Map<String, Long> highestOfLease = new HashMap<>();

	private long highestFencing;

	private long highestFencingIndex;

	private long lastCommitted;

	private long acknowledgedIndex;

	private long acknowledgedNumber;

	long elections;

	void elected(SimulatedNode node, long term) {
		ReplicaId previous = this.leaders.putIfAbsent(term, node.id);
		check(previous == null || previous.equals(node.id), "two leaders in term " + term);
		this.elections++;
	}

	void applied(SimulatedNode node, LogEntry entry) {
		check(entry.index() == node.appliedIndex + 1,
				"entry " + entry.index() + " applied after entry " + node.appliedIndex);
		LogEntry previous = this.committed.putIfAbsent(entry.index(), entry);
		boolean same = previous == null
				|| (previous.term() == entry.term() && Arrays.equals(previous.payload(), entry.payload()));
		check(same, "committed entry " + entry.index() + " changed");
		this.lastCommitted = Math.max(this.lastCommitted, entry.index());
	}

	void result(long index, Command command, CommandResult result, ControlState state) {
		if (command instanceof Command.AcquireLease acquire && result.code() == ResultCode.OK) {
			checkFencing(index, acquire.lease(), (LeaseResult) result);
		}
		String content = result.code() + " " + state.manifestNumber() + " " + state.manifestDigest() + " "
				+ state.time();
		String previous = this.results.putIfAbsent(index, content);
		check(previous == null || previous.equals(content), "replicas disagree on the result of entry " + index);
		if (previous == null && result instanceof ClaimResult claim) {
			checkClaim(command, claim);
		}
	}

	// Numbers increase with each lease that is granted anew, and never decrease for one.
	private void checkFencing(long index, String name, LeaseResult lease) {
		long number = lease.fencingNumber();
		String holder = this.fencing.putIfAbsent(number, lease.holder());
		check(holder == null || holder.equals(lease.holder()), "fencing number " + number + " issued to two holders");
		if (index <= this.highestFencingIndex) {
			return;
		}
		this.highestFencingIndex = index;
		check(holder != null || number > this.highestFencing, "fencing number decreased to " + number);
		check(number >= this.highestOfLease.getOrDefault(name, 0L), "fencing number decreased to " + number);
		this.highestFencing = Math.max(this.highestFencing, number);
		this.highestOfLease.put(name, number);
	}

	private void checkClaim(Command command, ClaimResult result) {
		if (command instanceof Command.Claim claim && result.granted()) {
			check(this.running.add(claim.key()), "claim granted twice: " + claim.key());
		}
		else if (command instanceof Command.CompleteClaim complete && result.outcome() == ClaimOutcome.NOT_RUN) {
			this.running.remove(complete.key());
		}
	}

	void acknowledged(CommandResult result, long index) {
		this.acknowledgedIndex = Math.max(this.acknowledgedIndex, index);
		if (result instanceof ManifestResult manifest && manifest.code() == ResultCode.OK) {
			this.acknowledgedNumber = Math.max(this.acknowledgedNumber, manifest.number());
		}
	}

	long acknowledgedNumber() {
		return this.acknowledgedNumber;
	}

	long acknowledgedIndex() {
		return this.acknowledgedIndex;
	}

	long lastCommitted() {
		return this.lastCommitted;
	}

	static void check(boolean holds, String message) {
		if (!holds) {
			throw new Violation(message);
		}
	}

	static void checkProgress(boolean holds, String message) {
		if (!holds) {
			throw new Stall(message);
		}
	}

	/** The cluster makes no progress, but no invariant is violated. */
	static final class Stall extends RuntimeException {

		Stall(String message) {
			super(message);
		}

	}

	/** An invariant is violated. */
	static final class Violation extends RuntimeException {

		Violation(String message) {
			super(message);
		}

	}

}
