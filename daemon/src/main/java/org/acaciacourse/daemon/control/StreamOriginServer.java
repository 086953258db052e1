package org.acaciacourse.daemon.control;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;

import org.acaciacourse.core.code.LogRateLimiter;
import org.acaciacourse.core.stream.OriginMessage;
import org.acaciacourse.core.stream.StreamOrigins;
import org.acaciacourse.daemon.codec.LoadDigestCodec;
import org.acaciacourse.daemon.codec.OriginMessageCodec;
import org.acaciacourse.daemon.inner.InternalConnection;
import org.acaciacourse.daemon.process.EssentialThread;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Keeps the origins of streams on a control VM, which lives on when all entry VMs end.
 * What it knows is soft: it is told again once a second while a stream is served, and is
 * lost with the process.
 * <p>
 * Thread safe: the origins belong to the thread that receives datagrams.
 */
public final class StreamOriginServer implements AutoCloseable {

	private static final Logger LOGGER = LogManager.getLogger(StreamOriginServer.class);

	/** More than any message about origins has. */
	private static final int MAX_DATAGRAM_BYTES = 4_096;

	private static final int MAX_DROP_LINES_PER_SECOND = 1;

	private final LogRateLimiter dropLogLimiter = new LogRateLimiter(MAX_DROP_LINES_PER_SECOND, System.nanoTime());

	private final DatagramSocket socket;

	private final StreamOrigins origins;

	private volatile int size;

	/**
	 * Bind the address.
	 * @param address the address at which the entry VMs reach this VM
	 * @throws IOException if the address can't be used
	 */
	public StreamOriginServer(String address) throws IOException {
		this.socket = new DatagramSocket(InternalConnection.parse(address));
		this.origins = new StreamOrigins(address);
	}

	/** Start to receive. */
	public void start() {
		new EssentialThread(this::run, "stream-origins").start();
	}

	// Returns how many streams there are whose origin is known.
	int size() {
		return this.size;
	}

	private void run() {
		DatagramPacket packet = new DatagramPacket(new byte[MAX_DATAGRAM_BYTES], MAX_DATAGRAM_BYTES);
		try {
			while (!this.socket.isClosed()) {
				packet.setLength(MAX_DATAGRAM_BYTES);
				this.socket.receive(packet);
				InetSocketAddress sender = (InetSocketAddress) packet.getSocketAddress();
				LoadDigestCodec.decode(Arrays.copyOf(packet.getData(), packet.getLength()))
					.andThen((content) -> content.peekLeft((message) -> receive(sender, message)))
					.onFailure((ex) -> logDropped(sender, ex));
			}
		}
		catch (IOException ex) {
			if (!this.socket.isClosed()) {
				LOGGER.error("origins of streams can no longer be received", ex);
			}
		}
	}

	private void receive(InetSocketAddress sender, OriginMessage message) {
		List<StreamOrigins.Outgoing> answers = this.origins.receive(InternalConnection.format(sender), message,
				System.nanoTime());
		this.size = this.origins.size();
		answers.forEach((answer) -> send(sender, OriginMessageCodec.encode(answer.message())));
	}

	private void send(InetSocketAddress receiver, byte[] datagram) {
		try {
			this.socket.send(new DatagramPacket(datagram, datagram.length, receiver));
		}
		catch (IOException ex) {
			// The entry VM asks again or asks others.
			LOGGER.debug("cannot send origins of streams to {}: {}", receiver, ex.getMessage());
		}
	}

	private void logDropped(InetSocketAddress sender, Throwable cause) {
		this.dropLogLimiter.tryAcquire(System.nanoTime())
			.ifPresent((suppressed) -> LOGGER.warn(
					"ignored invalid message about origins of streams from {} ({} earlier ones not logged): {}", sender,
					suppressed, String.valueOf(cause)));
	}

	@Override
	public void close() {
		this.socket.close();
	}

}
