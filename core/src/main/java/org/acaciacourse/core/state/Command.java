package org.acaciacourse.core.state;

import java.util.Objects;

import org.acaciacourse.core.manifest.ManifestDelta;
import org.acaciacourse.core.scaling.PoolProvision;
import org.acaciacourse.core.usage.UsageReport;

/**
 * The commands of the replicated state machine {@link ControlState}. Each command carries
 * the time at which the leader proposed it, so that every replica expires the same leases
 * and claims at the same log entry. The logical time of the state machine never goes
 * back.
 * <p>
 * Immutable and thread safe.
 */
public sealed interface Command {

	/**
	 * Return the time of the proposal, taken from the leader's {@link ProposalClock}.
	 * @return milliseconds since the epoch
	 */
	long proposedAt();

	/**
	 * Activate a manifest.
	 *
	 * @param proposedAt the time of the proposal in milliseconds since the epoch
	 * @param number the number of the manifest
	 * @param digest the digest of the whole manifest
	 * @param baseDigest the digest of the manifest that the delta is based on
	 * @param delta the sections that differ
	 * @param operator the operator who submitted it
	 */
	record PutManifest(long proposedAt, long number, String digest, String baseDigest, ManifestDelta delta,
			String operator) implements Command {

		public PutManifest {
			Objects.requireNonNull(digest, "digest");
			Objects.requireNonNull(baseDigest, "baseDigest");
			Objects.requireNonNull(delta, "delta");
			Objects.requireNonNull(operator, "operator");
		}

	}

	/**
	 * Acquire or renew a lease.
	 *
	 * @param proposedAt the time of the proposal in milliseconds since the epoch
	 * @param lease the name of the lease
	 * @param holder the id of the requesting process, unique to each run of it
	 * @param durationMillis the requested duration
	 * @param vm the name of the VM that the process runs on
	 * @param returnMillis how long a VM that lost or released the lease to another one
	 * must wait before it can acquire it again, so that it does not go back and forth
	 * @param timedNumber whether a new fencing number is at least the proposal time in
	 * seconds, so that it exceeds all numbers of a log that no longer exists
	 */
	record AcquireLease(long proposedAt, String lease, String holder, long durationMillis, String vm, long returnMillis,
			boolean timedNumber) implements Command {

		public AcquireLease {
			Objects.requireNonNull(lease, "lease");
			Objects.requireNonNull(holder, "holder");
			Objects.requireNonNull(vm, "vm");
		}

		/**
		 * Create a command for a lease that any VM may acquire as soon as it is free.
		 * @param proposedAt the time of the proposal in milliseconds since the epoch
		 * @param lease the name of the lease
		 * @param holder the id of the requesting process, unique to each run of it
		 * @param durationMillis the requested duration
		 */
		public AcquireLease(long proposedAt, String lease, String holder, long durationMillis) {
			this(proposedAt, lease, holder, durationMillis, holder, 0, false);
		}

	}

	/**
	 * Release a lease.
	 *
	 * @param proposedAt the time of the proposal in milliseconds since the epoch
	 * @param lease the name of the lease
	 * @param holder the id of the holder
	 * @param fencingNumber the fencing number that it was acquired with
	 */
	record ReleaseLease(long proposedAt, String lease, String holder, long fencingNumber) implements Command {
	}

	/**
	 * Claim a request that must run at most once, before it is sent.
	 *
	 * @param proposedAt the time of the proposal in milliseconds since the epoch
	 * @param key the customer and its idempotency key
	 * @param contentHash a hash of method, path and body
	 * @param owner the id of the process run of the entry VM that will send it,
	 * preferably followed by # and a number that the process uses for this request only
	 */
	record Claim(long proposedAt, ClaimKey key, String contentHash, String owner) implements Command {
	}

	/**
	 * Record the outcome of a claimed request.
	 *
	 * @param proposedAt the time of the proposal in milliseconds since the epoch
	 * @param key the key of the claim
	 * @param owner the owner that made the claim
	 * @param outcome the outcome
	 * @param response the whole response if it is to be stored, otherwise empty
	 */
	record CompleteClaim(long proposedAt, ClaimKey key, String owner, ClaimOutcome outcome,
			byte[] response) implements Command {
	}

	/**
	 * End a process run of an entry VM. The outcome of the claims that it did not
	 * complete becomes unknown.
	 *
	 * @param proposedAt the time of the proposal in milliseconds since the epoch
	 * @param owner the id of the process run, without a request number
	 */
	record EndOwner(long proposedAt, String owner) implements Command {
	}

	/**
	 * Record how many endpoints a request content is known to have crashed.
	 *
	 * @param proposedAt the time of the proposal in milliseconds since the epoch
	 * @param contentHash the hash of the customer and the content
	 * @param crashes the number of crashes; the highest number reported is kept, except
	 * that 0 clears a single crash
	 */
	record ReportCrash(long proposedAt, long contentHash, int crashes) implements Command {
	}

	/**
	 * Fix the usage of a window, before it is reported for the first time. The first
	 * command for a window decides.
	 *
	 * @param proposedAt the time of the proposal in milliseconds since the epoch
	 * @param report the window and the requests of each customer in it
	 * @param reportedThrough the latest window up to which all usage has been reported, 0
	 * if none is known
	 */
	record FreezeUsage(long proposedAt, UsageReport report, long reportedThrough) implements Command {

		public FreezeUsage {
			Objects.requireNonNull(report, "report");
		}

	}

	/**
	 * Record how many endpoints of a pool there were before the first order, and in which
	 * data centres the permanent ones are replaced. The first counts of a pool hold; data
	 * centres are only added.
	 *
	 * @param proposedAt the time of the proposal in milliseconds since the epoch
	 * @param pool the name of the pool
	 * @param provision the counts and the data centres
	 */
	record RecordProvision(long proposedAt, String pool, PoolProvision provision) implements Command {

		public RecordProvision {
			Objects.requireNonNull(pool, "pool");
			Objects.requireNonNull(provision, "provision");
		}

	}

}
