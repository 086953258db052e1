package org.acaciacourse.core.state;

import java.util.Objects;
import java.util.Optional;

import org.acaciacourse.core.code.ResultCode;

/**
 * What applying a command yielded. Every replica computes the same result; the leader
 * that proposed the command answers its caller with it.
 * <p>
 * Immutable and thread safe as long as nobody writes to a kept answer.
 */
public sealed interface CommandResult {

	/**
	 * Return the code.
	 * @return the code that the caller gets
	 */
	ResultCode code();

	/**
	 * The result of a manifest. {@link ResultCode#MANIFEST_BASE_CHANGED} asks the leader
	 * to compute the delta again from the document in force; an operator does not see it.
	 *
	 * @param code the code
	 * @param number the number in force after the command
	 * @param digest the digest in force after the command
	 */
	record ManifestResult(ResultCode code, long number, String digest) implements CommandResult {

		/**
		 * Return whether the leader has to compute the delta again and propose anew.
		 * @return whether the base of the delta was not in force
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
	 * @param holder who holds the lease after the command, empty if nobody
	 * @param fencingNumber the number it is held with, or was held with last
	 * @param remainingMillis how long it will hold by the state's time
	 */
	record LeaseResult(ResultCode code, String holder, long fencingNumber,
			long remainingMillis) implements CommandResult {
	}

	/**
	 * The result of a claim or of its completion.
	 *
	 * @param code {@link ResultCode#OK} if granted, completed or answered before, else
	 * the reason
	 * @param granted whether the owner may send the request
	 * @param outcome how the first request with the key stands
	 * @param answer the kept answer, if there is one
	 */
	record ClaimResult(ResultCode code, boolean granted, ClaimOutcome outcome,
			Optional<byte[]> answer) implements CommandResult {

		public ClaimResult {
			Objects.requireNonNull(outcome, "outcome");
			Objects.requireNonNull(answer, "answer");
		}

	}

	/**
	 * The result of a command that cannot be refused.
	 *
	 * @param code {@link ResultCode#OK}
	 */
	record Done(ResultCode code) implements CommandResult {
	}

}
