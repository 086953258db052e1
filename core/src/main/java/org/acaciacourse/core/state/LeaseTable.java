package org.acaciacourse.core.state;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.state.CommandResult.LeaseResult;
import org.acaciacourse.core.state.ControlStateSnapshot.Lease;

/**
 * Leases with fencing numbers, after Gray and Cheriton, "Leases" (1989). Invariants: a
 * lease has one holder until it is released or expires; each fencing number is issued
 * once, and the numbers increase across releases, expiries and all leases.
 * <p>
 * Not thread safe: belongs to one {@link ControlState}.
 */
final class LeaseTable {

	static final int MAX_LEASES = 1_000;

	/** Bounds how long a failed holder blocks its successor. */
	static final long MAX_DURATION_MILLIS = Duration.ofMinutes(10).toMillis();

	private final Map<String, Lease> leases = new TreeMap<>();

	private long fencingNumber;

	LeaseTable(long fencingNumber, List<Lease> leases) {
		this.fencingNumber = fencingNumber;
		leases.forEach((lease) -> this.leases.put(lease.name(), lease));
	}

	LeaseResult acquire(Command.AcquireLease command, long time) {
		Optional<Lease> held = held(command.lease(), time);
		if (held.isPresent() && !held.get().holder().equals(command.holder())) {
			return result(ResultCode.LEASE_HELD, held.get(), time);
		}
		long expiresAt = time + Math.max(0, Math.min(MAX_DURATION_MILLIS, command.durationMillis()));
		if (held.isPresent()) {
			Lease old = held.get();
			return put(new Lease(old.name(), old.holder(), old.fencingNumber(), Math.max(old.expiresAt(), expiresAt)),
					time);
		}
		this.leases.values().removeIf((lease) -> lease.expiresAt() <= time);
		if (this.leases.size() >= MAX_LEASES) {
			return new LeaseResult(ResultCode.LEASE_HELD, "", this.fencingNumber, 0);
		}
		this.fencingNumber++;
		return put(new Lease(command.lease(), command.holder(), this.fencingNumber, expiresAt), time);
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
		this.leases.remove(lease.name());
		return new LeaseResult(ResultCode.OK, "", lease.fencingNumber(), 0);
	}

	Optional<Lease> held(String name, long time) {
		return Optional.ofNullable(this.leases.get(name)).filter((lease) -> lease.expiresAt() > time);
	}

	List<Lease> leases() {
		return List.copyOf(this.leases.values());
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
