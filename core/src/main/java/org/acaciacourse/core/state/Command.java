package org.acaciacourse.core.state;

import java.util.Objects;

import org.acaciacourse.core.manifest.ManifestDelta;

/**
 * The commands of the replicated state machine {@link ControlState}. Each carries the
 * time at which the leader proposed it, so that every replica expires the same things at
 * the same entry; the state's time never goes back.
 * <p>
 * Immutable and thread safe.
 */
public sealed interface Command {

	/**
	 * Return the proposer's time, which {@link ProposalClock} yields.
	 * @return milliseconds since the epoch
	 */
	long proposedAt();

	/**
	 * Take a manifest into force.
	 *
	 * @param proposedAt the proposer's wall-clock time in milliseconds since the epoch
	 * @param number the number of the manifest
	 * @param digest the digest of the whole manifest
	 * @param baseDigest the digest of the manifest that the delta starts from
	 * @param delta the sections that differ
	 * @param operator who handed it in
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
	 * @param proposedAt the proposer's wall-clock time in milliseconds since the epoch
	 * @param lease the name of the lease
	 * @param holder who wants it: unique to one run of one process
	 * @param durationMillis how long it is to hold
	 */
	record AcquireLease(long proposedAt, String lease, String holder, long durationMillis) implements Command {
	}

	/**
	 * Give a lease back.
	 *
	 * @param proposedAt the proposer's wall-clock time in milliseconds since the epoch
	 * @param lease the name of the lease
	 * @param holder who holds it
	 * @param fencingNumber the number it was acquired with
	 */
	record ReleaseLease(long proposedAt, String lease, String holder, long fencingNumber) implements Command {
	}

	/**
	 * Claim a request that may not be repeated, before it is sent.
	 *
	 * @param proposedAt the proposer's wall-clock time in milliseconds since the epoch
	 * @param key who claims what
	 * @param contentHash a hash of method, path and body
	 * @param owner the run of the entry VM that will send it, best with # and a number
	 * that the run uses for this request only
	 */
	record Claim(long proposedAt, ClaimKey key, String contentHash, String owner) implements Command {
	}

	/**
	 * Record how a claimed request ended.
	 *
	 * @param proposedAt the proposer's wall-clock time in milliseconds since the epoch
	 * @param key the key of the claim
	 * @param owner the owner that made the claim
	 * @param outcome how it ended
	 * @param answer the whole answer if it is to be kept, else empty
	 */
	record CompleteClaim(long proposedAt, ClaimKey key, String owner, ClaimOutcome outcome,
			byte[] answer) implements Command {
	}

	/**
	 * The entry VM's run is over: what it held and did not complete is unknown from now
	 * on.
	 *
	 * @param proposedAt the proposer's wall-clock time in milliseconds since the epoch
	 * @param owner the run of the entry VM, without a number
	 */
	record EndOwner(long proposedAt, String owner) implements Command {
	}

	/**
	 * Record how many endpoints a content is proven to have crashed.
	 *
	 * @param proposedAt the proposer's wall-clock time in milliseconds since the epoch
	 * @param contentHash the hash of the customer and the content
	 * @param crashes the number of proven crashes; the highest one stays
	 */
	record ReportCrash(long proposedAt, long contentHash, int crashes) implements Command {
	}

}
