package org.acaciacourse.daemon.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.acaciacourse.core.consensus.Member;
import org.acaciacourse.core.consensus.ReplicaId;
import org.acaciacourse.core.consensus.ReplicaMessage;
import org.acaciacourse.daemon.codec.ReplicaCodec;
import org.acaciacourse.daemon.inner.SharedKey;
import org.acaciacourse.protocol.generated.ReplicaEnvelope;

/**
 * Passes messages to one sender per address. A replica that is not listed in the
 * membership yet responds to the address that was given in the call.
 * <p>
 * Not thread safe, except for {@link #recordAddress}: only the replica's thread calls it.
 */
final class PeerOutbox implements ReplicaDriver.Outbox, AutoCloseable {

	private static final int MAX_SENDERS = 64;

	private final String ownAddress;

	private final SharedKey key;

	private final Map<ReplicaId, String> addresses = new ConcurrentHashMap<>();

	private final Map<String, PeerSender> senders = new HashMap<>();

	private final List<Pending> pending = new ArrayList<>();

	PeerOutbox(String ownAddress, SharedKey key) {
		this.ownAddress = ownAddress;
		this.key = key;
	}

	/**
	 * Record the address of a replica.
	 * @param id the replica
	 * @param address its address
	 */
	void recordAddress(ReplicaId id, String address) {
		if (this.addresses.size() < MAX_SENDERS || this.addresses.containsKey(id)) {
			this.addresses.put(id, address);
		}
	}

	@Override
	public void add(Member to, ReplicaMessage message) {
		this.pending.add(new Pending(to, message));
	}

	@Override
	public void flush() {
		for (Pending next : this.pending) {
			String listed = next.to().address();
			String address = (listed.isEmpty()) ? this.addresses.get(next.to().id()) : listed;
			if (address != null) {
				ReplicaEnvelope envelope = ReplicaCodec.encode(next.message(), next.to().id());
				sender(address).send(envelope);
			}
		}
		this.pending.clear();
	}

	private PeerSender sender(String address) {
		return this.senders.computeIfAbsent(address, (a) -> new PeerSender(a, this.ownAddress, this.key));
	}

	@Override
	public void close() {
		this.senders.values().forEach(PeerSender::close);
	}

	/** A message that is buffered until the next flush. */
	private record Pending(Member to, ReplicaMessage message) {
	}

}
