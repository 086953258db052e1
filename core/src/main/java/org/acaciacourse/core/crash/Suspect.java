package org.acaciacourse.core.crash;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

import org.acaciacourse.core.crash.CrashEvidence.LostRun;

/**
 * A feature that was at an endpoint that crashed, or that another VM has blocked.
 * <p>
 * Invariant: each block is longer than the one before, until an answer ends them.
 * <p>
 * Not thread safe: belongs to one {@link CrashingFeatures}.
 */
final class Suspect {

	/** How long a feature is blocked at first. */
	static final long FIRST_BLOCK_NANOS = 30_000_000_000L;

	/** By how much a block is longer than the one before. */
	private static final int BLOCK_FACTOR = 5;

	private static final long MAX_BLOCK_NANOS = 6 * 3_600_000_000_000L;

	/** The VMs begin a block within this time. */
	private static final long SAME_BLOCK_NANOS = 1_000_000_000L;

	/** A request that is let through after a block shows its effect within this time. */
	private static final long TRIAL_NANOS = 3_000_000_000L;

	/** By endpoint. */
	private final Map<Integer, LostRun> runs = new HashMap<>();

	private long lastCrashAt;

	private long sentAt = Long.MIN_VALUE / 2;

	private long blockedAt;

	private long blockedUntil;

	private int blocks;

	private boolean part;

	private boolean toldApart;

	Suspect(long lastCrashAt) {
		this.lastCrashAt = lastCrashAt;
	}

	Map<Integer, LostRun> runs() {
		return this.runs;
	}

	long lastCrashAt() {
		return this.lastCrashAt;
	}

	// When a request with the feature was last sent by this VM.
	long sentAt() {
		return this.sentAt;
	}

	// A fact does not tell what kind of feature it is of, a request does.
	void seenAsPart(boolean isPart) {
		this.part = isPart;
	}

	boolean isPart() {
		return this.part;
	}

	// Whether no other feature was at the same crashes, so that this one explains them.
	void toldApart(boolean isToldApart) {
		this.toldApart = isToldApart;
	}

	boolean isToldApart() {
		return this.toldApart;
	}

	void crashed(LostRun lost) {
		this.runs.put(lost.run().endpoint(), lost);
		if (lost.lostAt() - this.lastCrashAt > 0) {
			this.lastCrashAt = lost.lostAt();
		}
	}

	void block(long now, long stagger) {
		long nanos = FIRST_BLOCK_NANOS;
		for (int i = 0; i < this.blocks && nanos < MAX_BLOCK_NANOS; i++) {
			nanos *= BLOCK_FACTOR;
		}
		this.blocks++;
		this.blockedAt = now;
		this.blockedUntil = now + Math.min(nanos, MAX_BLOCK_NANOS) + stagger;
	}

	void unblock() {
		this.blocks = 0;
	}

	void sent(long now) {
		this.sentAt = now;
		if (wasBlocked() && !isBlocked(now)) {
			this.blockedUntil = now + TRIAL_NANOS;
		}
	}

	boolean wasBlocked() {
		return this.blocks > 0;
	}

	// Whether a request that was sent at the time was let through after a block.
	boolean isBlockedBefore(long time) {
		return wasBlocked() && time - this.blockedAt >= SAME_BLOCK_NANOS;
	}

	boolean isBlocked(long now) {
		return wasBlocked() && now - this.blockedUntil < 0;
	}

	OptionalLong blockedFor(long now) {
		return (isBlocked(now)) ? OptionalLong.of(this.blockedUntil - now) : OptionalLong.empty();
	}

}
