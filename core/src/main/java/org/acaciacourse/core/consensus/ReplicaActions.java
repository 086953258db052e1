package org.acaciacourse.core.consensus;

import java.util.List;

/**
 * The actions that a replica requests. The calls for one event are carried out in order.
 * A message may be sent only after everything that was to be persisted before it is
 * durable. An implementation may collect the calls of several events, sync once, and then
 * send.
 * <p>
 * Implementations are called on the replica's thread and must not call back into the
 * replica.
 */
public interface ReplicaActions {

	/**
	 * Persist the hard state.
	 * @param state the state
	 */
	void persist(HardState state);

	/**
	 * Persist entries, after removing all entries from the index of the first one on.
	 * @param entries the entries, at least one, without gaps
	 */
	void append(List<LogEntry> entries);

	/**
	 * Persist a snapshot received from a leader, discard the whole log and restore the
	 * state machine from the snapshot.
	 * @param snapshot the snapshot
	 */
	void install(Snapshot snapshot);

	/**
	 * Send a message to another replica. It may be lost.
	 * @param to the receiver; its address is empty if the message replies to a sender
	 * that is not (yet) in this replica's membership, and the reply then goes to the
	 * address that came with the sender's last message
	 * @param message the message
	 */
	void send(Member to, ReplicaMessage message);

	/**
	 * Apply a committed entry to the state machine. Entries are applied in order and
	 * without gaps.
	 * @param entry the entry
	 */
	void apply(LogEntry entry);

	/**
	 * Report that a linearizable read may be served once the entry at an index is
	 * applied.
	 * @param readId the identifier of the read
	 * @param index the index of that entry
	 */
	void readReady(long readId, long index);

	/**
	 * Report that a read or a proposal can't be served here, or that the outcome of a
	 * proposal is unknown.
	 * @param id the identifier of the read or proposal
	 */
	void operationFailed(long id);

	/**
	 * Report that the role, the term or the known leader has changed.
	 * @param status the status after the change
	 */
	void statusChanged(ReplicaStatus status);

}
