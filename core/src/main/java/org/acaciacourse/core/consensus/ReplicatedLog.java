package org.acaciacourse.core.consensus;

import org.acaciacourse.core.consensus.ReplicaStatus.Role;

/**
 * One replica of the replicated log. Events and the time come in as calls, actions go out
 * through {@link ReplicaActions}; there is no I/O, thread or clock inside. Times are
 * nanoseconds on this VM's monotonic clock; the clocks of replicas need not agree, only
 * run at nearly the same speed.
 * <p>
 * Not thread safe: one thread calls it.
 */
public interface ReplicatedLog {

	/**
	 * Take a message from another replica.
	 * @param message the message
	 * @param now the time
	 */
	void receive(ReplicaMessage message, long now);

	/**
	 * Let time pass: elections, heartbeats and the check for a quorum. Called every few
	 * milliseconds.
	 * @param now the time
	 */
	void tick(long now);

	/**
	 * What was asked to be appended up to an index, in the term given, is durable here.
	 * @param index the last durable entry
	 * @param term the term of that entry
	 * @param now the time
	 */
	void durable(long index, long term, long now);

	/**
	 * Propose a command. {@link ReplicaActions#apply} of an entry with the returned index
	 * and this replica's term tells that it is committed; {@link ReplicaActions#failed}
	 * tells that it is lost or its outcome unknown.
	 * @param proposalId the caller's number for it
	 * @param command the encoded command
	 * @param now the time
	 * @return the index it will have, or -1 if this replica is not the leader
	 */
	long propose(long proposalId, byte[] command, long now);

	/**
	 * Propose a membership that differs in one member from the one in force.
	 * @param proposalId the caller's number for it
	 * @param next the next membership
	 * @param now the time
	 * @return the index it will have, or -1 if it can't be proposed now
	 */
	long changeMembership(long proposalId, Membership next, long now);

	/**
	 * Ask for a linearizable read; {@link ReplicaActions#readReady} or
	 * {@link ReplicaActions#failed} follows.
	 * @param readId the caller's number for it
	 * @param now the time
	 */
	void read(long readId, long now);

	/**
	 * Hand leadership over to the voter that has caught up furthest, before a planned
	 * stop.
	 * @param now the time
	 */
	void transferLeadership(long now);

	/**
	 * A snapshot that the state machine made is durable: entries up to it may be dropped.
	 * @param snapshot the snapshot
	 */
	void compacted(Snapshot snapshot);

	/**
	 * Return the status.
	 * @return role, term, leader and commit index
	 */
	ReplicaStatus status();

	/**
	 * Return the membership in force, committed or not.
	 * @return the membership
	 */
	Membership membership();

	/**
	 * Return how far a member's log is known to match, as the leader sees it.
	 * @param id the member
	 * @return the index, 0 if nothing is known or this replica is not the leader
	 */
	long matchIndex(ReplicaId id);

	/**
	 * Return whether this replica leads.
	 * @return whether it is the leader
	 */
	default boolean isLeader() {
		return status().role() == Role.LEADER;
	}

}
