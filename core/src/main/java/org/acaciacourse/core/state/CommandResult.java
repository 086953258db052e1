package org.acaciacourse.core.state;

import java.util.Objects;
import java.util.Optional;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.scaling.PoolProvision;
import org.acaciacourse.core.usage.UsageReport;

/**
 * The result of applying a command. Every replica computes the same result; the leader
 * that proposed the command returns it to the requester.
 * <p>
 * Immutable and thread safe as long as the byte array of a stored response is not
 * modified.
 */
public sealed interface CommandResult {

	/**
	 * Return the result code.
	 * @return the code that the requester receives
	 */
	ResultCode code();

	/**
	 * The result of submitting a manifest. {@link ResultCode#MANIFEST_BASE_CHANGED} tells
	 * the leader to recompute the delta from the active document; it is not shown to
	 * operators.
	 *
	 * @param code the code
	 * @param number the number of the active manifest after the command
	 * @param digest the digest of the active manifest after the command
	 */
	record ManifestResult(ResultCode code, long number, String digest) implements CommandResult {

		/**
		 * Return whether the leader must recompute the delta and propose it again.
		 * @return whether the delta is not based on the active manifest
		 */
		public boolean baseChanged() {
			return this.code == ResultCode.MANIFEST_BASE_CHANGED;
		}

	}

	/**
	 * The result of acquiring, renewing or releasing a lease.
	 *
	 * @param code {@link ResultCode#OK}, {@link ResultCode#LEASE_HELD} or
	 * {@link ResultCode#FENCED}
	 * @param holder the holder of the lease after the command, empty if it is not held
	 * @param fencingNumber the fencing number of the lease, current or last
	 * @param remainingMillis the logical time that is left until the lease expires
	 */
	record LeaseResult(ResultCode code, String holder, long fencingNumber,
			long remainingMillis) implements CommandResult {
	}

	/**
	 * The result of a claim or of its completion.
	 *
	 * @param code {@link ResultCode#OK} if the claim was granted or completed or its
	 * stored response is returned, otherwise the reason
	 * @param granted whether the owner may send the request
	 * @param outcome the outcome of the first request with the key
	 * @param response the stored response, if there is one
	 */
	record ClaimResult(ResultCode code, boolean granted, ClaimOutcome outcome,
			Optional<byte[]> response) implements CommandResult {

		public ClaimResult {
			Objects.requireNonNull(outcome, "outcome");
			Objects.requireNonNull(response, "answer");
		}

	}

	/**
	 * The result of fixing the usage of a window.
	 *
	 * @param code {@link ResultCode#OK}
	 * @param report the usage that is to be reported, whichever command fixed it; empty
	 * if the window was reported before or is too old to be kept
	 */
	record UsageResult(ResultCode code, Optional<UsageReport> report) implements CommandResult {

		public UsageResult {
			Objects.requireNonNull(report, "report");
		}

	}

	/**
	 * The result of recording the provision of a pool.
	 *
	 * @param code {@link ResultCode#OK}
	 * @param provision what holds for the pool now
	 */
	record ProvisionResult(ResultCode code, PoolProvision provision) implements CommandResult {
	}

	/**
	 * The result of a command that is never refused.
	 *
	 * @param code {@link ResultCode#OK}
	 */
	record Done(ResultCode code) implements CommandResult {
	}

}
