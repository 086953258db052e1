package org.acaciacourse.core.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * The pending linearizable reads, by the ReadIndex algorithm (Ongaro, "Consensus:
 * Bridging Theory and Practice", 2014, section 6.4). A read is served at the commit index
 * as of the start of a heartbeat round, once a quorum has confirmed that round: no other
 * leader can have committed anything before the read began. The algorithm does not depend
 * on clocks. Invariant: one round confirms all reads that were pending when it started;
 * later reads wait for the next round.
 * <p>
 * Not thread safe: belongs to one {@link Leadership}.
 */
final class PendingReads {

	static final int MAX_READS = 10_000;

	private final Deque<Long> waiting = new ArrayDeque<>();

	private final List<Long> awaitingRound = new ArrayList<>();

	private long round;

	private long index;

	boolean offer(long readId) {
		if (this.waiting.size() >= MAX_READS) {
			return false;
		}
		this.waiting.addLast(readId);
		return true;
	}

	boolean needsRound() {
		return this.awaitingRound.isEmpty() && !this.waiting.isEmpty();
	}

	void startRound(long nextRound, long commitIndex) {
		this.round = nextRound;
		this.index = commitIndex;
		this.awaitingRound.addAll(this.waiting);
		this.waiting.clear();
	}

	void confirmed(long confirmedRound, ReplicaActions actions) {
		if (confirmedRound >= this.round) {
			this.awaitingRound.forEach((readId) -> actions.readReady(readId, this.index));
			this.awaitingRound.clear();
		}
	}

	void failAll(ReplicaActions actions) {
		this.awaitingRound.forEach(actions::operationFailed);
		this.waiting.forEach(actions::operationFailed);
		this.awaitingRound.clear();
		this.waiting.clear();
	}

}
