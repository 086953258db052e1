package org.acaciacourse.core.dispatch.suspect;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Content that was running on endpoints that crashed, by the hash of customer and
 * content. A single crash makes everything that ran there suspect, because the cause
 * cannot be determined. A suspect is then run in isolation: a crash there proves that it
 * was the cause, and from the second crash on the content is refused. A complete response
 * clears the suspicion.
 * <p>
 * Invariants: an entry has one or two crashes; there are at most {@link #MAX_ENTRIES}
 * entries, the least recently updated is evicted first; a block expires after
 * {@link #RETENTION_NANOS}, so that a wrong one is not permanent.
 * <p>
 * Not thread safe: owned by one dispatcher.
 */
public final class SuspectTable {

	/** The number of crashes from which content is refused. */
	public static final int BLOCKING_CRASHES = 2;

	/** The maximum number of entries. */
	public static final int MAX_ENTRIES = 4_096;

	/** How long an entry is kept after its last update, in nanoseconds. */
	public static final long RETENTION_NANOS = 3_600_000_000_000L;

	/**
	 * The time after the return of this VM's own report within which the reports of all
	 * VMs have arrived through the control plane.
	 */
	static final long REPORT_PROPAGATION_NANOS = 1_000_000_000L;

	/**
	 * The longest wait for the return of this VM's own report, as the control plane may
	 * be down.
	 */
	static final long CONFIRMATION_TIMEOUT_NANOS = 5_000_000_000L;

	private static final long ACTIVE_WINDOW_NANOS = 20_000_000_000L;

	private final Map<Long, Entry> entries = new LinkedHashMap<>();

	private long lastReportAt = Long.MIN_VALUE / 2;

	/**
	 * Record the number of crashes attributed to a content.
	 * @param contentHash the hash of customer and content
	 * @param crashes the number of crashes, 0 clears the suspicion
	 * @param local whether this VM ran it, so that it is up to this VM to run it in
	 * isolation; false also for its own report returned by the control plane
	 * @param now the time
	 */
	public void record(long contentHash, int crashes, boolean local, long now) {
		Entry old = this.entries.remove(contentHash);
		if (crashes <= 0) {
			return;
		}
		this.lastReportAt = now;
		int maxCrashes = (old != null) ? Math.max(old.crashes, crashes) : crashes;
		boolean everLocal = local || (old != null && old.local);
		this.entries.put(contentHash, new Entry(Math.min(maxCrashes, BLOCKING_CRASHES), everLocal, !local, now));
		if (this.entries.size() > MAX_ENTRIES) {
			Iterator<Long> oldest = this.entries.keySet().iterator();
			oldest.next();
			oldest.remove();
		}
	}

	/**
	 * Return the number of crashes attributed to a content.
	 * @param contentHash the hash of customer and content
	 * @param now the time
	 * @return the number of crashes, 0 to {@link #BLOCKING_CRASHES}
	 */
	public int crashes(long contentHash, long now) {
		Entry entry = find(contentHash, now);
		return (entry != null) ? entry.crashes : 0;
	}

	/**
	 * Return how many active suspects come before a content. All VMs receive the same
	 * suspects and order them by hash, so that they run them one after the other without
	 * communicating: two at once on one endpoint would each be blamed for the crash of
	 * the other.
	 * @param contentHash the hash of customer and content
	 * @param endpointCount the number of isolation endpoints
	 * @param now the time
	 * @return the number of suspects before it at the same isolation endpoint
	 */
	public int rank(long contentHash, int endpointCount, long now) {
		int rank = 0;
		int endpointIndex = Math.floorMod(contentHash, endpointCount);
		for (Map.Entry<Long, Entry> entry : this.entries.entrySet()) {
			boolean before = entry.getKey() < contentHash
					&& Math.floorMod(entry.getKey(), endpointCount) == endpointIndex;
			rank += (before && isActive(entry.getValue(), now)) ? 1 : 0;
		}
		return rank;
	}

	/**
	 * Return whether any suspect runs or waits for an isolated attempt.
	 * @param now the time
	 * @return whether there is an active suspect
	 */
	public boolean hasActiveSuspect(long now) {
		return now - this.lastReportAt <= ACTIVE_WINDOW_NANOS
				&& this.entries.values().stream().anyMatch((entry) -> isActive(entry, now));
	}

	private static boolean isActive(Entry entry, long now) {
		return entry.crashes < BLOCKING_CRASHES && now - entry.updatedAt <= ACTIVE_WINDOW_NANOS;
	}

	/**
	 * Return when this VM may run a suspect in isolation. If the suspect ran on this VM,
	 * this is once the VM's own report has returned from the control plane and the VMs
	 * have had time to receive each other's suspects: an earlier attempt could meet a
	 * suspect of another VM at the same endpoint, and a crash would block both. Otherwise
	 * it is after the VM that ran the suspect has had time to determine the result. Two
	 * VMs that run it at the same time would lose two more endpoints.
	 * @param contentHash the hash of customer and content
	 * @param remoteDelayNanos how long to wait for the result of another VM
	 * @param now the time
	 * @return the time
	 */
	public long isolatedAttemptAllowedAt(long contentHash, long remoteDelayNanos, long now) {
		Entry entry = find(contentHash, now);
		if (entry == null) {
			return now;
		}
		if (!entry.local) {
			return entry.updatedAt + remoteDelayNanos;
		}
		return entry.updatedAt + ((entry.confirmed) ? REPORT_PROPAGATION_NANOS : CONFIRMATION_TIMEOUT_NANOS);
	}

	private Entry find(long contentHash, long now) {
		Entry entry = this.entries.get(contentHash);
		if (entry != null && now - entry.updatedAt > RETENTION_NANOS) {
			this.entries.remove(contentHash);
			return null;
		}
		return entry;
	}

	private record Entry(int crashes, boolean local, boolean confirmed, long updatedAt) {
	}

}
