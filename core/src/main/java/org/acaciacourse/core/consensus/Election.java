package org.acaciacourse.core.consensus;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;

/**
 * The timer of elections and the tally of the one that runs. Invariant: the timer is
 * drawn anew each time, so that candidates which collided once rarely do so again.
 * <p>
 * Not thread safe: belongs to one {@link Replica}.
 */
final class Election {

	/**
	 * The part of the timeout after which a replica stands that has heard of no leader
	 * since it started. After all replicas were lost at once nobody leads, and the whole
	 * timeout would pass for nothing; a leader that works is safe, as those that hear it
	 * refuse the pre-vote. Long enough for a vote in a process that runs each step for
	 * the first time, some tens of milliseconds.
	 */
	private static final double NO_LEADER_TIMEOUT_RATIO = 0.12;

	/**
	 * The part of the timeout after which the first of the voters stands for the first
	 * time after its start.
	 */
	private static final double INITIAL_TIMEOUT_RATIO = 0.06;

	/**
	 * How much longer each further voter waits the first time. When all start at once,
	 * two that stand within the time of a vote take each other's votes, and a second
	 * round costs a tenth of a second. The order lasts for the first timer only: voters
	 * that were not reached then go on by chance.
	 */
	private static final double INITIAL_TIMEOUT_STEP_RATIO = 0.08;

	/**
	 * The number of shortest election timeouts without a leader after which a voter asks
	 * to join again. An election that the voters can win is over by then.
	 */
	private static final int LEADERLESS_TIMEOUT_FACTOR = 2;

	private final long timeoutNanos;

	private final Random random;

	private final Set<ReplicaId> votes = new HashSet<>();

	private long deadline;

	private long lastLeaderContact;

	private boolean leaderContacted;

	/**
	 * Make the timer of a replica that starts.
	 * @param timeoutNanos the shortest election timeout
	 * @param seed the seed of the timers' lengths
	 * @param rank how many voters go before this replica in the order of identities
	 * @param now the time
	 */
	Election(long timeoutNanos, long seed, int rank, long now) {
		this.timeoutNanos = timeoutNanos;
		this.random = new Random(seed);
		this.lastLeaderContact = now;
		this.deadline = now + (long) ((INITIAL_TIMEOUT_RATIO + rank * INITIAL_TIMEOUT_STEP_RATIO) * timeoutNanos);
	}

	void restartTimer(long now) {
		double ratio = (this.leaderContacted) ? 1 : NO_LEADER_TIMEOUT_RATIO;
		this.deadline = now + (long) (ratio * (1 + this.random.nextDouble()) * this.timeoutNanos);
	}

	boolean isTimerExpired(long now) {
		return now >= this.deadline;
	}

	void recordLeaderContact(long now) {
		this.lastLeaderContact = now;
		this.leaderContacted = true;
		restartTimer(now);
	}

	/**
	 * Return whether a leader was heard of within the shortest election timeout. While it
	 * was, candidates are refused: a replica that was removed, or that cannot hear the
	 * leader, would otherwise depose a leader that works.
	 * @param now the time
	 * @return whether it was
	 */
	boolean hasRecentLeaderContact(long now) {
		return this.leaderContacted && now - this.lastLeaderContact < this.timeoutNanos;
	}

	/**
	 * Return whether no leader has been heard of for several election timeouts, counted
	 * from the start of this replica if there was none. A voter in this state may have
	 * been removed from the membership.
	 * @param now the time
	 * @return whether at least {@value #LEADERLESS_TIMEOUT_FACTOR} of the shortest
	 * election timeouts have passed without a leader
	 */
	boolean isLeaderless(long now) {
		return now - this.lastLeaderContact >= LEADERLESS_TIMEOUT_FACTOR * this.timeoutNanos;
	}

	void start(ReplicaId self, long now) {
		this.votes.clear();
		this.votes.add(self);
		restartTimer(now);
	}

	void recordVote(ReplicaId voter) {
		this.votes.add(voter);
	}

	Set<ReplicaId> grantingVoters() {
		return Set.copyOf(this.votes);
	}

	/**
	 * Return whether the election is won. Only voters of the candidate's own membership
	 * count.
	 * @param membership the membership in force at the candidate
	 * @return whether a quorum granted it
	 */
	boolean isWon(Membership membership) {
		return membership.isQuorum(this.votes);
	}

}
