package org.acaciacourse.daemon.control;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.util.Arrays;

import org.acaciacourse.core.stream.OriginMessage;
import org.acaciacourse.core.stream.StreamOrigins;
import org.acaciacourse.daemon.codec.LoadDigestCodec;
import org.acaciacourse.daemon.codec.OriginMessageCodec;
import org.acaciacourse.daemon.inner.InternalConnection;
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
		Thread thread = new Thread(this::run, "stream-origins");
		thread.setDaemon(true);
		thread.start();
	}

	// Returns how many streams there are whose origin is known.
	int size() {
		return this.size;
	}

	private void run() {
		DatagramPacket packet = new DatagramPacket(new byte[MAX_DATAGRAM_BYTES], MAX_DATAGRAM_BYTES);
		while (!this.socket.isClosed()) {
			try {
				packet.setLength(MAX_DATAGRAM_BYTES);
				this.socket.receive(packet);
				receive((InetSocketAddress) packet.getSocketAddress(),
						Arrays.copyOf(packet.getData(), packet.getLength()));
			}
			catch (IOException ex) {
				// A VM that is gone refuses the answer that was sent to it.
				LOGGER.debug("datagram about origins of streams failed", ex);
			}
		}
	}

	private void receive(InetSocketAddress sender, byte[] datagram) throws IOException {
		OriginMessage message = LoadDigestCodec.decode(datagram)
			.toJavaOptional()
			.flatMap((content) -> content.swap().toJavaOptional())
			.orElseThrow(() -> new IOException("no message about origins of streams from " + sender));
		for (StreamOrigins.Outgoing answer : this.origins.receive(InternalConnection.format(sender), message,
				System.nanoTime())) {
			byte[] bytes = OriginMessageCodec.encode(answer.message());
			this.socket.send(new DatagramPacket(bytes, bytes.length, sender));
		}
		this.size = this.origins.size();
	}

	@Override
	public void close() {
		this.socket.close();
	}

}
