package org.acaciacourse.core.consensus;

import java.util.List;

/**
 * What a replica wants done. The calls of one event are carried out in order; a message
 * may leave only after all that was asked to be persisted before it is durable. A caller
 * may gather several events, sync once, then send.
 * <p>
 * Implementations are called on the replica's thread and must not call back into it.
 */
public interface ReplicaActions {

	/**
	 * Persist the hard state.
	 * @param state the state
	 */
	void persist(HardState state);

	/**
	 * Persist entries. Entries that the log holds from the first one's index on are
	 * dropped before.
	 * @param entries the entries, at least one, without gaps
	 */
	void append(List<LogEntry> entries);

	/**
	 * Persist a snapshot that was received, drop the whole log and put the state machine
	 * into the state that the snapshot holds.
	 * @param snapshot the snapshot
	 */
	void install(Snapshot snapshot);

	/**
	 * Send a message to another replica; it may be lost.
	 * @param to the receiver; its address is empty if it answers a sender that this
	 * replica's membership does not list (yet), and is then the address that the sender's
	 * last message came with
	 * @param message the message
	 */
	void send(Member to, ReplicaMessage message);

	/**
	 * Apply a committed entry to the state machine. Indexes come without gaps.
	 * @param entry the entry
	 */
	void apply(LogEntry entry);

	/**
	 * A linearizable read may be served once the entry at the index is applied.
	 * @param readId the number that the read was asked with
	 * @param index the index
	 */
	void readReady(long readId, long index);

	/**
	 * A linearizable read or a proposal can't be served here, or its outcome is unknown.
	 * @param id the number that it was asked with
	 */
	void failed(long id);

	/**
	 * The role or the known leader changed.
	 * @param status the status after the change
	 */
	void statusChanged(ReplicaStatus status);

}
