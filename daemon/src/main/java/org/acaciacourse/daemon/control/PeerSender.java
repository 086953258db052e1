package org.acaciacourse.daemon.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.acaciacourse.daemon.inner.InternalConnection;
import org.acaciacourse.daemon.inner.SharedKey;
import org.acaciacourse.daemon.process.EssentialThread;
import org.acaciacourse.protocol.generated.ReplicaEnvelope;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.thrift.TException;
import org.jctools.queues.MpscBlockingConsumerArrayQueue;

/**
 * Sends messages to one address, with a thread and a bounded queue. The peer responds to
 * each call, so a dead connection is detected by a timeout and replaced. The messages in
 * flight are then lost, which the replication protocol tolerates; for the same reason a
 * full queue drops new messages.
 * <p>
 * Thread safe.
 */
final class PeerSender implements AutoCloseable {

	private static final Logger LOGGER = LogManager.getLogger(PeerSender.class);

	private static final Duration TIMEOUT = Duration.ofSeconds(2);

	private static final int QUEUE_CAPACITY = 1024;

	private static final int MAX_BATCH = 64;

	/**
	 * The delay before reconnecting after a failure; messages are dropped meanwhile.
	 * After a power failure all control VMs start within some tenths of a second: for the
	 * length of this delay, a peer that has started to listen receives no votes and no
	 * messages of a new leader, and refuses entry VMs. Heartbeats are further apart than
	 * the delay, so an unreachable peer costs one attempt per heartbeat.
	 */
	private static final long RECONNECT_DELAY_MILLIS = 25;

	private final MpscBlockingConsumerArrayQueue<ReplicaEnvelope> queue = new MpscBlockingConsumerArrayQueue<>(
			QUEUE_CAPACITY);

	private final String address;

	private final String ownAddress;

	private final SharedKey key;

	private volatile boolean closed;

	private InternalConnection connection;

	private long reconnectAt = System.nanoTime();

	PeerSender(String address, String ownAddress, SharedKey key) {
		this.address = address;
		this.ownAddress = ownAddress;
		this.key = key;
		new EssentialThread(this::run, "peer-" + address).start();
	}

	void send(ReplicaEnvelope message) {
		this.queue.offer(message);
	}

	private void run() {
		List<ReplicaEnvelope> batch = new ArrayList<>();
		try {
			while (!this.closed) {
				ReplicaEnvelope first = this.queue.poll(1, TimeUnit.SECONDS);
				if (first != null) {
					batch.add(first);
					this.queue.drain(batch::add, MAX_BATCH - 1);
					deliver(batch);
					batch.clear();
				}
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		disconnect();
	}

	private void deliver(List<ReplicaEnvelope> batch) {
		if (this.connection == null && System.nanoTime() < this.reconnectAt) {
			return;
		}
		try {
			if (this.connection == null) {
				this.connection = InternalConnection.open(this.address, TIMEOUT);
			}
			this.connection.replica().deliver(this.key.text(), batch, this.ownAddress);
		}
		catch (TException | RuntimeException ex) {
			LOGGER.debug("cannot deliver messages to replica at {}", this.address, ex);
			disconnect();
			this.reconnectAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RECONNECT_DELAY_MILLIS);
		}
	}

	private void disconnect() {
		if (this.connection != null) {
			this.connection.close();
			this.connection = null;
		}
	}

	@Override
	public void close() {
		this.closed = true;
	}

}
