package org.acaciacourse.core.consensus;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The replication state of one follower as seen by the leader, with the modes of the Raft
 * implementation in etcd: probe until the logs match, then replicate with several
 * messages in flight, or wait for a snapshot. Invariants: the match index never decreases
 * within a term; the bytes in flight are those sent after the match index.
 * <p>
 * Not thread safe: belongs to one {@link Replication}.
 */
final class Progress {

	/**
	 * The timeout of a snapshot as a multiple of that of an append. A snapshot is large,
	 * and its receiver syncs it before it replies.
	 */
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
	 * @param maxBytes the maximum number of bytes in flight
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
	 * Record a reply of this term. It shows that the follower accepted this leader after
	 * the start of the round.
	 * @param round the heartbeat round repeated in the reply
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
			// A delayed reply: this follower's log is known to match further, or a
			// snapshot is being sent.
			return;
		}
		long previous = this.nextIndex - 1;
		probeFrom(Math.max(this.matchIndex + 1, Math.min(previous, hint + 1)));
	}

	/**
	 * Return to probing if messages were not acknowledged in time, so that their entries
	 * are sent again. The messages or their replies are lost, and without a retry the
	 * follower would never catch up.
	 * @param timeout the time in nanoseconds after which a message counts as lost
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
	 * The replication mode of a follower.
	 */
	enum Mode {

		/** One message at a time, until the matching index is known. */
		PROBE,

		/** Several messages in flight. */
		REPLICATE,

		/** No entries until the snapshot is acknowledged. */
		SNAPSHOT

	}

	/** An append request in flight. */
	private record Batch(long lastIndex, long bytes) {
	}

}
