package org.acaciacourse.core.state;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.manifest.ManifestDelta;
import org.acaciacourse.core.manifest.ManifestDocument;
import org.acaciacourse.core.scaling.PoolProvision;
import org.acaciacourse.core.state.CommandResult.Done;
import org.acaciacourse.core.state.CommandResult.ProvisionResult;
import org.acaciacourse.core.state.ControlStateSnapshot.ActiveManifest;
import org.acaciacourse.core.state.ControlStateSnapshot.AuditEntry;
import org.acaciacourse.core.state.ControlStateSnapshot.ClaimRecord;
import org.acaciacourse.core.state.ControlStateSnapshot.CrashRecord;
import org.acaciacourse.core.state.ControlStateSnapshot.Lease;
import org.acaciacourse.core.state.ControlStateSnapshot.UsageState;

/**
 * The replicated state machine, after Schneider, "Implementing Fault-Tolerant Services
 * Using the State Machine Approach" (1990). Invariants: its content depends only on the
 * commands applied and their order; its logical time is the highest
 * {@link Command#proposedAt()} applied and never goes back; each entry is applied once,
 * in the order of the indexes.
 * <p>
 * Not thread safe: the replica's thread applies commands and runs queries; the objects
 * that queries return are immutable and may be passed to other threads.
 */
public final class ControlState {

	private final ManifestStore manifests;

	private final LeaseTable leases;

	private final ClaimTable claims;

	private final CrashTable crashes;

	private final UsageTable usage;

	private final SortedMap<String, PoolProvision> provisions;

	private long appliedIndex;

	private long time;

	/**
	 * Create the initial state, before the first entry.
	 */
	public ControlState() {
		this(new ControlStateSnapshot(0, 0,
				new ActiveManifest(0, ManifestDocument.empty().digest(), ManifestDocument.empty()), List.of(),
				List.of(), 0, List.of(), List.of(), 0, List.of(), List.of(), UsageState.EMPTY, new TreeMap<>()));
	}

	private ControlState(ControlStateSnapshot snapshot) {
		this.appliedIndex = snapshot.appliedIndex();
		this.time = snapshot.time();
		this.manifests = new ManifestStore(snapshot.manifest(), snapshot.history(), snapshot.audit());
		this.leases = new LeaseTable(snapshot.fencingNumber(), snapshot.leases(), snapshot.formerHolders());
		this.claims = new ClaimTable(snapshot.claims());
		this.crashes = new CrashTable(snapshot.crashRevision(), snapshot.crashes());
		this.usage = new UsageTable(snapshot.usage());
		this.provisions = new TreeMap<>(snapshot.provisions());
	}

	/**
	 * Create a state from a snapshot.
	 * @param snapshot the snapshot
	 * @return the state
	 */
	public static ControlState restore(ControlStateSnapshot snapshot) {
		return new ControlState(snapshot);
	}

	/**
	 * Return a snapshot of the whole state.
	 * @return the snapshot
	 */
	public ControlStateSnapshot snapshot() {
		return new ControlStateSnapshot(this.appliedIndex, this.time, this.manifests.active(), this.manifests.history(),
				this.manifests.audit(), this.leases.fencingNumber(), this.leases.leases(), this.claims.claims(),
				this.crashes.revision(), this.crashes.since(0), this.leases.formerHolders(), this.usage.state(),
				this.provisions);
	}

	/**
	 * Apply a committed command.
	 * @param index the index of its log entry, higher than that of the previous command
	 * @param command the command
	 * @return the result for the requester
	 */
	public CommandResult apply(long index, Command command) {
		if (index <= this.appliedIndex) {
			throw new IllegalArgumentException(
					"log entry " + index + " is not above the last applied index " + this.appliedIndex);
		}
		this.appliedIndex = index;
		this.time = Math.max(this.time, command.proposedAt());
		this.claims.expire(this.time);
		if (command instanceof Command.PutManifest put) {
			return this.manifests.put(put, this.time);
		}
		if (command instanceof Command.AcquireLease acquire) {
			return this.leases.acquire(acquire, this.time);
		}
		if (command instanceof Command.ReleaseLease release) {
			return this.leases.release(release, this.time);
		}
		if (command instanceof Command.Claim claim) {
			return this.claims.claim(claim, this.time);
		}
		if (command instanceof Command.CompleteClaim complete) {
			return this.claims.complete(complete, this.time);
		}
		if (command instanceof Command.FreezeUsage freeze) {
			return this.usage.freeze(freeze);
		}
		if (command instanceof Command.RecordProvision record) {
			PoolProvision held = this.provisions.merge(record.pool(), record.provision(), PoolProvision::extendedBy);
			return new ProvisionResult(ResultCode.OK, held);
		}
		if (command instanceof Command.EndOwner end) {
			this.claims.endOwner(end.owner(), this.time);
		}
		else if (command instanceof Command.ReportCrash report) {
			this.crashes.report(report);
		}
		return new Done(ResultCode.OK);
	}

	/**
	 * Return the index of the last log entry applied.
	 * @return the index, 0 before the first entry
	 */
	public long appliedIndex() {
		return this.appliedIndex;
	}

	/**
	 * Return the logical time of the state machine.
	 * @return milliseconds since the epoch, 0 before the first command
	 */
	public long time() {
		return this.time;
	}

	/**
	 * Return the document of the active manifest.
	 * @return the document
	 */
	public ManifestDocument manifestDocument() {
		return this.manifests.active().document();
	}

	/**
	 * Return the number of the active manifest.
	 * @return the number, 0 before the first manifest
	 */
	public long manifestNumber() {
		return this.manifests.active().number();
	}

	/**
	 * Return the digest of the active manifest.
	 * @return the digest; before the first manifest, that of the empty document
	 */
	public String manifestDigest() {
		return this.manifests.active().digest();
	}

	/**
	 * Compute the delta from a follower's manifest to the active one.
	 * @param number the number of the follower's manifest
	 * @param digest the digest of the follower's manifest
	 * @return the delta, or empty if the follower needs the whole document
	 */
	public Optional<ManifestDelta> deltaFrom(long number, String digest) {
		return this.manifests.deltaFrom(number, digest);
	}

	/**
	 * Return a lease that is held at the current logical time.
	 * @param name the name of the lease
	 * @return the lease, if it is held
	 */
	public Optional<Lease> lease(String name) {
		return this.leases.held(name, this.time);
	}

	/**
	 * Return the latest grant of a lease, which may have expired.
	 * @param name the name of the lease
	 * @return the lease, empty if it was released or never held
	 */
	public Optional<Lease> latestLease(String name) {
		return this.leases.latest(name);
	}

	/**
	 * Return whether any lease is held at the current logical time, or was until a short
	 * while ago.
	 * @return whether a jump of the logical time could expire a lease, or let a VM that
	 * lost one return to it too early
	 */
	public boolean isAnyLeaseHeld() {
		return this.leases.isAnyHeldOrRemembered(this.time);
	}

	/**
	 * Return the usage of customers that is fixed.
	 * @return the usage
	 */
	public UsageState usage() {
		return this.usage.state();
	}

	/**
	 * Return a claim.
	 * @param key the key of the claim
	 * @return the claim, if there is one
	 */
	public Optional<ClaimRecord> claim(ClaimKey key) {
		return this.claims.get(key);
	}

	/**
	 * Return the crash reports that changed after a revision.
	 * @param revision the revision
	 * @return the reports, ordered by revision
	 */
	public List<CrashRecord> crashesSince(long revision) {
		return this.crashes.since(revision);
	}

	/**
	 * Return the provision of the pools with ordered endpoints.
	 * @return the provisions by the names of the pools
	 */
	public Map<String, PoolProvision> provisions() {
		return Map.copyOf(this.provisions);
	}

	/**
	 * Return the latest entries of the audit log.
	 * @return the entries, oldest first
	 */
	public List<AuditEntry> audit() {
		return this.manifests.audit();
	}

	/**
	 * Return the size of the state.
	 * @return the statistics
	 */
	public Statistics statistics() {
		return new Statistics(this.claims.size(), this.claims.storedResponseBytes(), this.leases.leases().size(),
				this.leases.fencingNumber(), this.crashes.revision(), this.manifests.history().size());
	}

	/**
	 * The size of the state.
	 *
	 * @param claims the number of claims
	 * @param storedResponseBytes the total size of the stored responses in bytes
	 * @param leases the number of leases
	 * @param fencingNumber the highest fencing number issued
	 * @param crashRevision the revision of the latest crash report
	 * @param manifestChanges the number of manifest changes kept for computing deltas
	 */
	public record Statistics(int claims, long storedResponseBytes, int leases, long fencingNumber, long crashRevision,
			int manifestChanges) {
	}

}
