package org.acaciacourse.core.consensus;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * What the leader knows of one follower, with the modes of the Raft implementation in
 * etcd: probe until the logs match, then replicate with several messages in flight, or
 * wait for a snapshot. Invariants: the match index never falls within a term; the bytes
 * in flight are those sent after the match index.
 * <p>
 * Not thread safe: belongs to one {@link Replication}.
 */
final class Progress {

	/** A snapshot is large, and its receiver syncs it before it answers. */
	private static final int SNAPSHOT_TIMEOUT_FACTOR = 8;

	private final Deque<Batch> inFlight = new ArrayDeque<>();

	private Mode mode = Mode.PROBE;

	private long matchIndex;

	private long nextIndex;

	private long inFlightBytes;

	private long lastSent;

	private long lastContact;

	private long acknowledgedRound;

	private boolean probeOutstanding;

	Progress(long nextIndex, long now) {
		this.nextIndex = nextIndex;
		this.lastContact = now;
		this.lastSent = now;
	}

	Mode mode() {
		return this.mode;
	}

	long matchIndex() {
		return this.matchIndex;
	}

	long nextIndex() {
		return this.nextIndex;
	}

	long lastContact() {
		return this.lastContact;
	}

	long acknowledgedRound() {
		return this.acknowledgedRound;
	}

	/**
	 * Return whether more entries may be sent now.
	 * @param maxBytes the bound on the bytes in flight
	 * @return whether there is room
	 */
	boolean canSendEntries(int maxBytes) {
		return switch (this.mode) {
			case PROBE -> !this.probeOutstanding;
			case REPLICATE -> this.inFlightBytes < maxBytes;
			case SNAPSHOT -> false;
		};
	}

	boolean isIdle() {
		return this.mode == Mode.REPLICATE && this.inFlight.isEmpty();
	}

	void sentEntries(long lastIndex, long bytes, long now) {
		this.lastSent = now;
		if (this.mode == Mode.PROBE) {
			this.probeOutstanding = true;
			return;
		}
		this.inFlight.addLast(new Batch(lastIndex, bytes));
		this.inFlightBytes += bytes;
		this.nextIndex = lastIndex + 1;
	}

	void sentSnapshot(long index, long now) {
		this.mode = Mode.SNAPSHOT;
		this.nextIndex = index + 1;
		this.lastSent = now;
		clearInFlight();
	}

	/**
	 * Note a reply of this term: the follower still took this replica as its leader after
	 * the round began.
	 * @param round the round that it repeats
	 * @param now the time
	 */
	void recordContact(long round, long now) {
		this.lastContact = now;
		this.acknowledgedRound = Math.max(this.acknowledgedRound, round);
	}

	void matched(long index) {
		this.matchIndex = Math.max(this.matchIndex, index);
		while (!this.inFlight.isEmpty() && this.inFlight.peekFirst().lastIndex() <= this.matchIndex) {
			this.inFlightBytes -= this.inFlight.removeFirst().bytes();
		}
		if (this.mode != Mode.REPLICATE && index >= this.nextIndex - 1) {
			this.mode = Mode.REPLICATE;
			this.probeOutstanding = false;
			this.nextIndex = this.matchIndex + 1;
		}
		this.nextIndex = Math.max(this.nextIndex, this.matchIndex + 1);
	}

	void rejected(long hint) {
		if (hint < this.matchIndex || this.mode == Mode.SNAPSHOT) {
			// An old reply that was overtaken; this follower's log matches further.
			return;
		}
		long previous = this.nextIndex - 1;
		probeFrom(Math.max(this.matchIndex + 1, Math.min(previous, hint + 1)));
	}

	/**
	 * Send again what was not acknowledged in time: the messages or their replies are
	 * lost, and without this the follower would stay behind for good.
	 * @param timeout the time after which a message counts as lost
	 * @param now the time
	 */
	void checkTimeout(long timeout, long now) {
		boolean snapshot = this.mode == Mode.SNAPSHOT;
		boolean waiting = snapshot || this.probeOutstanding || !this.inFlight.isEmpty();
		long limit = (snapshot) ? SNAPSHOT_TIMEOUT_FACTOR * timeout : timeout;
		if (waiting && now - this.lastSent >= limit) {
			probeFrom(this.matchIndex + 1);
		}
	}

	private void probeFrom(long index) {
		this.mode = Mode.PROBE;
		this.probeOutstanding = false;
		this.nextIndex = index;
		clearInFlight();
	}

	private void clearInFlight() {
		this.inFlight.clear();
		this.inFlightBytes = 0;
		this.probeOutstanding = false;
	}

	/**
	 * How entries are sent to a follower.
	 */
	enum Mode {

		/** One message at a time, until it is known where the logs match. */
		PROBE,

		/** Several messages in flight. */
		REPLICATE,

		/** None until the snapshot is taken in. */
		SNAPSHOT

	}

	/** A message in flight. */
	private record Batch(long lastIndex, long bytes) {
	}

}
