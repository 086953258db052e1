package org.acaciacourse.core.dispatch.suspect;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Content that was running on endpoints that crashed, by the hash of customer and
 * content. One crash makes everything that ran there suspect, for nobody can tell which
 * of it was the cause. A suspect runs apart; a crash there is proof, and from the second
 * crash on the content is refused. A whole answer clears it.
 * <p>
 * Invariants: an entry has one or two crashes; at most {@link #MAX_ENTRIES} entries, the
 * oldest goes first; a conviction lapses after {@link #RETENTION_NANOS}, so that a wrong
 * one heals.
 * <p>
 * Not thread safe: owned by one dispatcher.
 */
public final class SuspectTable {

	/** How many crashes convict. */
	public static final int CONVICTION = 2;

	/** The most entries. */
	public static final int MAX_ENTRIES = 4_096;

	/** How long an entry is kept. */
	public static final long RETENTION_NANOS = 3_600_000_000_000L;

	/**
	 * In which the reports of all VMs come by way of control, from when the own one came
	 * back.
	 */
	static final long REPORT_PROPAGATION_NANOS = 1_000_000_000L;

	/** How long the own report is waited for: control may be lost. */
	static final long CONFIRMATION_TIMEOUT_NANOS = 5_000_000_000L;

	private static final long ACTIVE_WINDOW_NANOS = 20_000_000_000L;

	private final Map<Long, Entry> entries = new LinkedHashMap<>();

	private long lastReportAt = Long.MIN_VALUE / 2;

	/**
	 * Note how many crashes a content had part in.
	 * @param contentHash the hash of customer and content
	 * @param crashes how many crashes, 0 clears it
	 * @param local whether this VM ran it, so that it is this VM's task to try it again;
	 * false also for its own report that comes back from control
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
		this.entries.put(contentHash, new Entry(Math.min(maxCrashes, CONVICTION), everLocal, !local, now));
		if (this.entries.size() > MAX_ENTRIES) {
			Iterator<Long> oldest = this.entries.keySet().iterator();
			oldest.next();
			oldest.remove();
		}
	}

	/**
	 * Return how many crashes a content had part in.
	 * @param contentHash the hash of customer and content
	 * @param now the time
	 * @return 0 to {@link #CONVICTION}
	 */
	public int crashes(long contentHash, long now) {
		Entry entry = find(contentHash, now);
		return (entry != null) ? entry.crashes : 0;
	}

	/**
	 * Return how many suspects are on trial or wait for it before a content. All VMs hear
	 * of the same suspects and order them by their hash, so that they try them in turn
	 * without a word between them: two at once on one endpoint would make each look
	 * guilty of the other's crash.
	 * @param contentHash the hash of customer and content
	 * @param endpointCount how many endpoints try suspects side by side
	 * @param now the time
	 * @return the number of suspects before it at its place
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
	 * Return whether any content is on trial or waits for it.
	 * @param now the time
	 * @return whether there is an active suspect
	 */
	public boolean hasActiveSuspect(long now) {
		return now - this.lastReportAt <= ACTIVE_WINDOW_NANOS
				&& this.entries.values().stream().anyMatch((entry) -> isActive(entry, now));
	}

	private static boolean isActive(Entry entry, long now) {
		return entry.crashes < CONVICTION && now - entry.updatedAt <= ACTIVE_WINDOW_NANOS;
	}

	/**
	 * Return when this VM may try a suspect. If it ran here, once its report came back
	 * from control and the VMs had time to hear of each other's suspects: a trial that
	 * began before could meet another VM's suspect at the same endpoint, and a crash
	 * would convict both. Otherwise only after the VM that ran it had time to come to a
	 * verdict. Two VMs that try it at the same time would lose two more endpoints.
	 * @param contentHash the hash of customer and content
	 * @param remoteDelayNanos how long to wait for the verdict of another VM
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
