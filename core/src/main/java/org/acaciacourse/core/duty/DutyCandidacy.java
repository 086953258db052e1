package org.acaciacourse.core.duty;

import java.util.Optional;

import org.acaciacourse.core.state.ControlStateSnapshot.Lease;

/**
 * Decides whether this control VM asks for the lease of a duty. The VM that holds it
 * renews it, whether it leads or not. A free lease is for the leader, which needs no call
 * to another VM for it; the other VMs follow after a while, each after another one, in
 * case the leader does not want it: it cannot reach the platform, say. A VM that has
 * given the lease up leaves it to the others for some time.
 * <p>
 * Not thread safe: belongs to one loop.
 */
public final class DutyCandidacy {

	private final String self;

	private final long leaseNanos;

	private final long standbyNanos;

	private Optional<Lease> lease = Optional.empty();

	private long changedAt;

	private long abstainUntil;

	/**
	 * Create the candidacy of a VM.
	 * @param self the id of this process as a holder
	 * @param leaseNanos the duration of the lease
	 * @param standbyNanos how much longer than the leader this VM waits
	 * @param now the time in nanoseconds
	 */
	public DutyCandidacy(String self, long leaseNanos, long standbyNanos, long now) {
		this.self = self;
		this.leaseNanos = leaseNanos;
		this.standbyNanos = standbyNanos;
		this.changedAt = now;
		this.abstainUntil = now;
	}

	/**
	 * Record the lease as this VM's replica knows it.
	 * @param latest the latest grant or renewal, empty after a release
	 * @param now the time in nanoseconds
	 */
	public void observe(Optional<Lease> latest, long now) {
		if (!latest.equals(this.lease)) {
			this.lease = latest;
			this.changedAt = now;
		}
	}

	/**
	 * Leave the lease to other VMs.
	 * @param nanos for how long
	 * @param now the time in nanoseconds
	 */
	public void abstain(long nanos, long now) {
		this.abstainUntil = Math.max(this.abstainUntil, now + nanos);
	}

	/**
	 * Return whether to ask for the lease.
	 * @param leader whether this VM leads
	 * @param now the time in nanoseconds
	 * @return whether this VM holds the lease or should take it over
	 */
	public boolean isCandidate(boolean leader, long now) {
		if (now - this.abstainUntil < 0) {
			return false;
		}
		if (this.lease.filter((held) -> held.holder().equals(this.self)).isPresent()) {
			return true;
		}
		// The lease expires by the replicated time, which other VMs' renewals show.
		long wait = (this.lease.isPresent()) ? this.leaseNanos : 0;
		return now - this.changedAt >= wait + ((leader) ? 0 : this.standbyNanos);
	}

}
