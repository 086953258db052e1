package org.acaciacourse.core.state;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.state.CommandResult.LeaseResult;
import org.acaciacourse.core.state.ControlStateSnapshot.FormerHolder;
import org.acaciacourse.core.state.ControlStateSnapshot.Lease;

/**
 * Leases with fencing numbers, after Gray and Cheriton, "Leases" (1989). Invariants: a
 * lease has one holder until it is released or expires; each fencing number is issued
 * once, and the numbers increase across releases, expiries and all leases; a VM that
 * another one has followed gets the lease back only after the time that its request
 * states.
 * <p>
 * Not thread safe: belongs to one {@link ControlState}.
 */
final class LeaseTable {

	static final int MAX_LEASES = 1_000;

	/** Bounds how long a failed holder blocks its successor. */
	static final long MAX_DURATION_MILLIS = Duration.ofMinutes(10).toMillis();

	/** How long former holders are remembered: the longest time until one may return. */
	static final long MAX_RETURN_MILLIS = Duration.ofMinutes(1).toMillis();

	private final Map<String, Lease> leases = new TreeMap<>();

	/** In the order of their ends. */
	private final List<FormerHolder> formerHolders;

	private long fencingNumber;

	LeaseTable(long fencingNumber, List<Lease> leases, List<FormerHolder> formerHolders) {
		this.fencingNumber = fencingNumber;
		leases.forEach((lease) -> this.leases.put(lease.name(), lease));
		this.formerHolders = new ArrayList<>(formerHolders);
	}

	LeaseResult acquire(Command.AcquireLease command, long time) {
		Optional<Lease> held = held(command.lease(), time);
		if (held.isPresent() && !held.get().holder().equals(command.holder())) {
			return result(ResultCode.LEASE_HELD, held.get(), time);
		}
		long expiresAt = time + Math.max(0, Math.min(MAX_DURATION_MILLIS, command.durationMillis()));
		if (held.isPresent()) {
			Lease old = held.get();
			return put(new Lease(old.name(), old.holder(), old.fencingNumber(), Math.max(old.expiresAt(), expiresAt),
					old.vm()), time);
		}
		removeExpired(time);
		if (this.leases.size() >= MAX_LEASES || returnsTooEarly(command, time)) {
			return new LeaseResult(ResultCode.LEASE_HELD, "", this.fencingNumber, 0);
		}
		long lowest = (command.timedNumber()) ? command.proposedAt() / 1_000 : 0;
		this.fencingNumber = Math.max(this.fencingNumber + 1, lowest);
		return put(new Lease(command.lease(), command.holder(), this.fencingNumber, expiresAt, command.vm()), time);
	}

	private void removeExpired(long time) {
		List<Lease> expired = this.leases.values().stream().filter((lease) -> lease.expiresAt() <= time).toList();
		expired.forEach((lease) -> end(lease, lease.expiresAt(), time));
	}

	private void end(Lease lease, long endedAt, long time) {
		this.leases.remove(lease.name());
		this.formerHolders.removeIf((former) -> time - former.endedAt() >= MAX_RETURN_MILLIS
				|| (former.lease().equals(lease.name()) && former.vm().equals(lease.vm())));
		this.formerHolders.add(new FormerHolder(lease.name(), lease.vm(), endedAt));
	}

	private boolean returnsTooEarly(Command.AcquireLease command, long time) {
		long returnMillis = Math.min(command.returnMillis(), MAX_RETURN_MILLIS);
		boolean followed = false;
		for (int i = this.formerHolders.size() - 1; i >= 0; i--) {
			FormerHolder former = this.formerHolders.get(i);
			if (!former.lease().equals(command.lease())) {
				continue;
			}
			boolean same = former.vm().equals(command.vm());
			if (same && followed && time - former.endedAt() < returnMillis) {
				return true;
			}
			followed |= !same;
		}
		return false;
	}

	LeaseResult release(Command.ReleaseLease command, long time) {
		Optional<Lease> held = held(command.lease(), time);
		if (held.isEmpty()) {
			return new LeaseResult(ResultCode.OK, "", this.fencingNumber, 0);
		}
		Lease lease = held.get();
		if (!lease.holder().equals(command.holder()) || lease.fencingNumber() != command.fencingNumber()) {
			return result(ResultCode.FENCED, lease, time);
		}
		end(lease, time, time);
		return new LeaseResult(ResultCode.OK, "", lease.fencingNumber(), 0);
	}

	Optional<Lease> held(String name, long time) {
		return latest(name).filter((lease) -> lease.expiresAt() > time);
	}

	Optional<Lease> latest(String name) {
		return Optional.ofNullable(this.leases.get(name));
	}

	boolean isAnyHeldOrRemembered(long time) {
		return this.leases.values().stream().anyMatch((lease) -> time - lease.expiresAt() < MAX_RETURN_MILLIS)
				|| this.formerHolders.stream().anyMatch((former) -> time - former.endedAt() < MAX_RETURN_MILLIS);
	}

	List<Lease> leases() {
		return List.copyOf(this.leases.values());
	}

	List<FormerHolder> formerHolders() {
		return List.copyOf(this.formerHolders);
	}

	long fencingNumber() {
		return this.fencingNumber;
	}

	private LeaseResult put(Lease lease, long time) {
		this.leases.put(lease.name(), lease);
		return result(ResultCode.OK, lease, time);
	}

	private static LeaseResult result(ResultCode code, Lease lease, long time) {
		return new LeaseResult(code, lease.holder(), lease.fencingNumber(), lease.expiresAt() - time);
	}

}
