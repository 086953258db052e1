package org.acaciacourse.core.consensus;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;

/**
 * The election timer and the votes of the current election. Invariant: the timeout is
 * randomized each time the timer restarts, so that candidates which have split the vote
 * once rarely do so again.
 * <p>
 * Not thread safe: belongs to one {@link Replica}.
 */
final class Election {

	/**
	 * The fraction of the election timeout that applies to a replica which has had no
	 * contact with a leader since it started. After all replicas were lost at once there
	 * is no leader, and waiting for the whole timeout would gain nothing. A working
	 * leader is not deposed, as the replicas in contact with it refuse the pre-vote. The
	 * fraction leaves enough time for a vote in a process that runs each step for the
	 * first time, which takes some tens of milliseconds.
	 */
	private static final double NO_LEADER_TIMEOUT_RATIO = 0.12;

	/**
	 * The fraction of the election timeout after which the first of the voters starts its
	 * first election.
	 */
	private static final double INITIAL_TIMEOUT_RATIO = 0.06;

	/**
	 * The additional fraction that each further voter waits before its first election.
	 * When all start at once, two candidates within the time of a vote split the vote,
	 * and a second round takes a tenth of a second. The order applies to the first
	 * timeout only: voters that were not reached by then use randomized timeouts.
	 */
	private static final double INITIAL_TIMEOUT_STEP_RATIO = 0.08;

	/**
	 * The number of minimum election timeouts without a leader after which a voter asks
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
	 * Create the election state of a replica that starts.
	 * @param timeoutNanos the minimum election timeout in nanoseconds
	 * @param seed the seed of the randomized timeouts
	 * @param rank the number of voters with a lower identifier than this replica
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
	 * Return whether a leader was in contact within the minimum election timeout. If so,
	 * vote requests are refused: a replica that was removed, or that cannot reach the
	 * leader, would otherwise depose a working leader.
	 * @param now the time
	 * @return whether it was
	 */
	boolean hasRecentLeaderContact(long now) {
		return this.leaderContacted && now - this.lastLeaderContact < this.timeoutNanos;
	}

	/**
	 * Return whether no leader has been in contact for several election timeouts, counted
	 * from the start of this replica if there was none. A voter in this state may have
	 * been removed from the membership.
	 * @param now the time
	 * @return whether at least {@value #LEADERLESS_TIMEOUT_FACTOR} minimum election
	 * timeouts have passed without a leader
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
	 * Return whether the candidate has won the election. Only the voters in its own
	 * membership count.
	 * @param membership the candidate's current membership
	 * @return whether a quorum has granted its vote
	 */
	boolean isWon(Membership membership) {
		return membership.isQuorum(this.votes);
	}

}
