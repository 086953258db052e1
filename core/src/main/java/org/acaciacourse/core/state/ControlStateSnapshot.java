package org.acaciacourse.core.state;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.acaciacourse.core.manifest.ManifestDelta;
import org.acaciacourse.core.manifest.ManifestDocument;

/**
 * The whole of a {@link ControlState}, for serialisation. Lists are in an order that
 * depends only on the commands applied.
 * <p>
 * Immutable and thread safe as long as nobody writes to a kept answer.
 *
 * @param appliedIndex the last entry applied
 * @param time the state's time in milliseconds since the epoch
 * @param manifest the manifest in force
 * @param history the latest changes, oldest first
 * @param audit the latest audit records, oldest first
 * @param fencingNumber the highest fencing number given out
 * @param leases the leases held, by name
 * @param claims the claims, in the order of their last change
 * @param crashRevision the revision of the latest crash report
 * @param crashes the crash reports by revision
 */
public record ControlStateSnapshot(long appliedIndex, long time, ManifestInForce manifest, List<ManifestChange> history,
		List<AuditEntry> audit, long fencingNumber, List<Lease> leases, List<ClaimRecord> claims, long crashRevision,
		List<CrashRecord> crashes) {

	public ControlStateSnapshot {
		Objects.requireNonNull(manifest, "manifest");
		history = List.copyOf(history);
		audit = List.copyOf(audit);
		leases = List.copyOf(leases);
		claims = List.copyOf(claims);
		crashes = List.copyOf(crashes);
	}

	/**
	 * The manifest in force.
	 *
	 * @param number its number, 0 before the first one
	 * @param digest its digest
	 * @param document its sections
	 */
	public record ManifestInForce(long number, String digest, ManifestDocument document) {
	}

	/**
	 * A change from one manifest to the next.
	 *
	 * @param number the number it led to
	 * @param digest the digest it led to
	 * @param baseNumber the number it started from
	 * @param baseDigest the digest it started from
	 * @param delta the sections that differ
	 */
	public record ManifestChange(long number, String digest, long baseNumber, String baseDigest, ManifestDelta delta) {
	}

	/**
	 * A record of the audit log.
	 *
	 * @param at the state's time in milliseconds since the epoch
	 * @param operator who handed the manifest in
	 * @param number the number of the manifest
	 * @param digest its digest
	 * @param changedSections how many sections differ from the one before
	 */
	public record AuditEntry(long at, String operator, long number, String digest, int changedSections) {
	}

	/**
	 * A lease that is held.
	 *
	 * @param name its name
	 * @param holder who holds it
	 * @param fencingNumber the number it was acquired with
	 * @param expiresAt when it ends, by the state's time
	 */
	public record Lease(String name, String holder, long fencingNumber, long expiresAt) {
	}

	/**
	 * A claim.
	 *
	 * @param key what it is filed under
	 * @param contentHash the hash of the content it was made for
	 * @param owner who made it
	 * @param outcome how it stands
	 * @param changedAt the state's time of its last change
	 * @param answer the answer, if it is kept
	 */
	public record ClaimRecord(ClaimKey key, String contentHash, String owner, ClaimOutcome outcome, long changedAt,
			Optional<byte[]> answer) {

		public ClaimRecord {
			Objects.requireNonNull(key, "key");
			Objects.requireNonNull(outcome, "outcome");
			Objects.requireNonNull(answer, "answer");
		}

		ClaimRecord withOutcome(ClaimOutcome newOutcome, long time, Optional<byte[]> newResponse) {
			return new ClaimRecord(this.key, this.contentHash, this.owner, newOutcome, time, newResponse);
		}

		ClaimRecord withoutResponse() {
			return new ClaimRecord(this.key, this.contentHash, this.owner, this.outcome, this.changedAt,
					Optional.empty());
		}

	}

	/**
	 * A crash report.
	 *
	 * @param contentHash the hash of the customer and the content
	 * @param crashes the highest number of proven crashes reported
	 * @param revision the revision of its last change
	 */
	public record CrashRecord(long contentHash, int crashes, long revision) {
	}

}
