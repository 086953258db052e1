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
 * Invariants: an entry has one or two crashes; at most {@link #LIMIT} entries, the oldest
 * goes first; a conviction lapses after {@link #MEMORY_NANOS}, so that a wrong one heals.
 * <p>
 * Not thread safe: owned by one dispatcher.
 */
public final class SuspectTable {

	/** How many crashes convict. */
	public static final int CONVICTION = 2;

	/** The most entries. */
	public static final int LIMIT = 4_096;

	/** How long an entry is kept. */
	public static final long MEMORY_NANOS = 3_600_000_000_000L;

	/**
	 * In which the reports of all VMs come by way of control, from when the own one came
	 * back.
	 */
	static final long SETTLE_NANOS = 1_000_000_000L;

	/** How long the own report is waited for: control may be lost. */
	static final long UNCONFIRMED_NANOS = 5_000_000_000L;

	private static final long ACTIVE_NANOS = 20_000_000_000L;

	private final Map<Long, Entry> entries = new LinkedHashMap<>();

	private long lastSuspicion = Long.MIN_VALUE / 2;

	/**
	 * Note how many crashes a content had part in.
	 * @param contentHash the hash of customer and content
	 * @param crashes how many crashes, 0 clears it
	 * @param own whether this VM ran it, so that it is this VM's task to try it again;
	 * false also for its own report that comes back from control
	 * @param now the time
	 */
	public void note(long contentHash, int crashes, boolean own, long now) {
		Entry old = this.entries.remove(contentHash);
		if (crashes <= 0) {
			return;
		}
		this.lastSuspicion = now;
		int most = (old != null) ? Math.max(old.crashes, crashes) : crashes;
		boolean ours = own || (old != null && old.own);
		this.entries.put(contentHash, new Entry(Math.min(most, CONVICTION), ours, !own, now));
		if (this.entries.size() > LIMIT) {
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
	 * @param places how many endpoints try suspects side by side
	 * @param now the time
	 * @return the number of suspects before it at its place
	 */
	public int rank(long contentHash, int places, long now) {
		int rank = 0;
		int place = Math.floorMod(contentHash, places);
		for (Map.Entry<Long, Entry> entry : this.entries.entrySet()) {
			boolean before = entry.getKey() < contentHash && Math.floorMod(entry.getKey(), places) == place;
			rank += (before && isActive(entry.getValue(), now)) ? 1 : 0;
		}
		return rank;
	}

	/**
	 * Return whether any content is on trial or waits for it.
	 * @param now the time
	 * @return whether there is an active suspect
	 */
	public boolean hasActive(long now) {
		return now - this.lastSuspicion <= ACTIVE_NANOS
				&& this.entries.values().stream().anyMatch((entry) -> isActive(entry, now));
	}

	private static boolean isActive(Entry entry, long now) {
		return entry.crashes < CONVICTION && now - entry.since <= ACTIVE_NANOS;
	}

	/**
	 * Return when this VM may try a suspect. If it ran here, once its report came back
	 * from control and the VMs had time to hear of each other's suspects: a trial that
	 * began before could meet another VM's suspect at the same endpoint, and a crash
	 * would convict both. Otherwise only after the VM that ran it had time to come to a
	 * verdict. Two VMs that try it at the same time would lose two more endpoints.
	 * @param contentHash the hash of customer and content
	 * @param holdNanos how long to wait for the verdict of another VM
	 * @param now the time
	 * @return the time
	 */
	public long trialFrom(long contentHash, long holdNanos, long now) {
		Entry entry = find(contentHash, now);
		if (entry == null) {
			return now;
		}
		if (!entry.own) {
			return entry.since + holdNanos;
		}
		return entry.since + ((entry.confirmed) ? SETTLE_NANOS : UNCONFIRMED_NANOS);
	}

	private Entry find(long contentHash, long now) {
		Entry entry = this.entries.get(contentHash);
		if (entry != null && now - entry.since > MEMORY_NANOS) {
			this.entries.remove(contentHash);
			return null;
		}
		return entry;
	}

	private record Entry(int crashes, boolean own, boolean confirmed, long since) {
	}

}
