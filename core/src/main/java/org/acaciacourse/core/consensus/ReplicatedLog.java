package org.acaciacourse.core.consensus;

import org.acaciacourse.core.consensus.ReplicaStatus.Role;

/**
 * One replica of the replicated log. Events and the current time are passed in as calls,
 * and actions are requested through {@link ReplicaActions}; the implementation does no
 * I/O, starts no threads and reads no clock. Times are nanoseconds on this VM's monotonic
 * clock. The clocks of the replicas need not agree, they only have to run at nearly the
 * same rate.
 * <p>
 * Not thread safe: one thread calls it.
 */
public interface ReplicatedLog {

	/**
	 * Process a message from another replica.
	 * @param message the message
	 * @param now the time
	 */
	void receive(ReplicaMessage message, long now);

	/**
	 * Advance the time: runs election timeouts, heartbeats and the check for contact with
	 * a quorum. Called every few milliseconds.
	 * @param now the time
	 */
	void tick(long now);

	/**
	 * Report that the log is durable on this replica up to an entry of the given term.
	 * @param index the index of the last durable entry
	 * @param term the term of that entry
	 * @param now the time
	 */
	void entriesPersisted(long index, long term, long now);

	/**
	 * Propose a command. {@link ReplicaActions#apply} of an entry with the returned index
	 * and this replica's term means that it is committed.
	 * {@link ReplicaActions#operationFailed} means that it is lost or that its outcome is
	 * unknown.
	 * @param proposalId an identifier chosen by the caller
	 * @param command the encoded command
	 * @param now the time
	 * @return the index it will have, or -1 if this replica is not the leader
	 */
	long propose(long proposalId, byte[] command, long now);

	/**
	 * Propose a membership that differs from the current one in one member.
	 * @param proposalId an identifier chosen by the caller
	 * @param next the next membership
	 * @param now the time
	 * @return the index it will have, or -1 if it can't be proposed now
	 */
	long changeMembership(long proposalId, Membership next, long now);

	/**
	 * Request a linearizable read. {@link ReplicaActions#readReady} or
	 * {@link ReplicaActions#operationFailed} follows.
	 * @param readId an identifier chosen by the caller
	 * @param now the time
	 */
	void read(long readId, long now);

	/**
	 * Transfer leadership to the most up-to-date voter, before a planned stop.
	 * @param now the time
	 */
	void transferLeadership(long now);

	/**
	 * Report that a snapshot made by the state machine is durable: the entries that it
	 * covers may be discarded.
	 * @param snapshot the snapshot
	 */
	void snapshotPersisted(Snapshot snapshot);

	/**
	 * Return the status.
	 * @return role, term, leader and commit index
	 */
	ReplicaStatus status();

	/**
	 * Return the current membership, which is the last one in the log, committed or not.
	 * @return the membership
	 */
	Membership membership();

	/**
	 * Return the highest index up to which a member's log is known to match the leader's.
	 * @param id the member
	 * @return the index, 0 if it is unknown or this replica is not the leader
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
