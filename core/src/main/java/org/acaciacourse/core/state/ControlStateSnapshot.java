package org.acaciacourse.core.state;

import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

import org.acaciacourse.core.manifest.ManifestDelta;
import org.acaciacourse.core.manifest.ManifestDocument;
import org.acaciacourse.core.scaling.PoolProvision;
import org.acaciacourse.core.usage.UsageReport;

/**
 * A snapshot of a {@link ControlState}, for serialization. The order of each list depends
 * only on the commands applied.
 * <p>
 * Immutable and thread safe as long as the byte array of a stored response is not
 * modified.
 *
 * @param appliedIndex the index of the last log entry applied
 * @param time the logical time in milliseconds since the epoch
 * @param manifest the active manifest
 * @param history the latest manifest changes, oldest first
 * @param audit the latest entries of the audit log, oldest first
 * @param fencingNumber the highest fencing number issued
 * @param leases the leases, ordered by name
 * @param claims the claims, in the order of their last change
 * @param crashRevision the revision of the latest crash report
 * @param crashes the crash reports, ordered by revision
 * @param formerHolders the VMs that held a lease lately, ordered by the name of the lease
 * and the end of their time
 * @param usage the usage that is fixed
 * @param provisions the provision of pools with ordered endpoints, by their names
 */
public record ControlStateSnapshot(long appliedIndex, long time, ActiveManifest manifest, List<ManifestChange> history,
		List<AuditEntry> audit, long fencingNumber, List<Lease> leases, List<ClaimRecord> claims, long crashRevision,
		List<CrashRecord> crashes, List<FormerHolder> formerHolders, UsageState usage,
		SortedMap<String, PoolProvision> provisions) {

	public ControlStateSnapshot {
		Objects.requireNonNull(manifest, "manifest");
		history = List.copyOf(history);
		audit = List.copyOf(audit);
		leases = List.copyOf(leases);
		claims = List.copyOf(claims);
		crashes = List.copyOf(crashes);
		formerHolders = List.copyOf(formerHolders);
		Objects.requireNonNull(usage, "usage");
		provisions = Collections.unmodifiableSortedMap(new TreeMap<>(provisions));
	}

	/**
	 * The active manifest.
	 *
	 * @param number its number, 0 before the first manifest
	 * @param digest its digest
	 * @param document its sections
	 */
	public record ActiveManifest(long number, String digest, ManifestDocument document) {
	}

	/**
	 * A change from one manifest to the next.
	 *
	 * @param number the number of the new manifest
	 * @param digest the digest of the new manifest
	 * @param baseNumber the number of the previous manifest
	 * @param baseDigest the digest of the previous manifest
	 * @param delta the sections that differ
	 */
	public record ManifestChange(long number, String digest, long baseNumber, String baseDigest, ManifestDelta delta) {
	}

	/**
	 * An entry of the audit log.
	 *
	 * @param at the logical time in milliseconds since the epoch
	 * @param operator the operator who submitted the manifest
	 * @param number the number of the manifest
	 * @param digest its digest
	 * @param changedSections how many sections differ from the previous manifest
	 */
	public record AuditEntry(long at, String operator, long number, String digest, int changedSections) {
	}

	/**
	 * A lease.
	 *
	 * @param name its name
	 * @param holder the id of the holder
	 * @param fencingNumber the fencing number that it was acquired with
	 * @param expiresAt the logical time at which it expires
	 * @param vm the name of the holder's VM
	 */
	public record Lease(String name, String holder, long fencingNumber, long expiresAt, String vm) {
	}

	/**
	 * A VM that held a lease.
	 *
	 * @param lease the name of the lease
	 * @param vm the name of the VM
	 * @param endedAt the logical time from which on it could not use the lease
	 */
	public record FormerHolder(String lease, String vm, long endedAt) {
	}

	/**
	 * The usage of customers that is fixed.
	 *
	 * @param frozenThrough the latest window that is fixed, 0 if none is
	 * @param reportedThrough the latest window up to which all have been reported
	 * @param unreported the fixed windows after that, in their order
	 */
	public record UsageState(long frozenThrough, long reportedThrough, List<UsageReport> unreported) {

		/** Before the first window. */
		public static final UsageState EMPTY = new UsageState(0, 0, List.of());

		public UsageState {
			unreported = List.copyOf(unreported);
		}

	}

	/**
	 * A claim.
	 *
	 * @param key its key
	 * @param contentHash the hash of the claimed request's content
	 * @param owner the owner that made it
	 * @param outcome the outcome of the request so far
	 * @param changedAt the logical time of its last change
	 * @param response the response, if it is stored
	 */
	public record ClaimRecord(ClaimKey key, String contentHash, String owner, ClaimOutcome outcome, long changedAt,
			Optional<byte[]> response) {

		public ClaimRecord {
			Objects.requireNonNull(key, "key");
			Objects.requireNonNull(outcome, "outcome");
			Objects.requireNonNull(response, "answer");
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
	 * @param crashes the number of proven crashes, the highest reported; 1 is a suspicion
	 * and 0 a cleared one
	 * @param revision the revision of its last change
	 */
	public record CrashRecord(long contentHash, int crashes, long revision) {
	}

}
