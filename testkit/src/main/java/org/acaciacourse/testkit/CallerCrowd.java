package org.acaciacourse.testkit;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Callers that all send the same bytes, and connect again whenever they are disconnected.
 * <p>
 * Thread safe: each caller has a thread.
 */
public final class CallerCrowd implements AutoCloseable {

	private static final long RECONNECT_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

	private static final int CONNECT_MILLIS = 5_000;

	private static final int STACK_BYTES = 128 * 1024;

	private final byte[] opening;

	private final byte[] repeated;

	private final CountDownLatch firstRound;

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private final List<Thread> threads = new ArrayList<>();

	private volatile boolean closed;

	/**
	 * Start the callers.
	 * @param opening what each one sends first
	 * @param repeated what it sends after that, on and on; if empty, it waits
	 * @param servers the servers
	 * @param callers the number of callers of each server
	 */
	public CallerCrowd(byte[] opening, byte[] repeated, List<InetSocketAddress> servers, int callers) {
		this.opening = opening;
		this.repeated = repeated;
		this.firstRound = new CountDownLatch(servers.size() * callers);
		for (InetSocketAddress server : servers) {
			for (int i = 0; i < callers; i++) {
				this.threads.add(new Thread(null, () -> call(server), "crowd", STACK_BYTES));
			}
		}
		this.threads.forEach(Thread::start);
	}

	/**
	 * Wait until each caller has sent its opening, or was refused or disconnected.
	 * @throws InterruptedException if the thread is interrupted
	 */
	public void awaitFirstRound() throws InterruptedException {
		if (!this.firstRound.await(Waiting.BOUND.toSeconds(), TimeUnit.SECONDS)) {
			throw new AssertionError(this.firstRound.getCount() + " callers were neither served nor refused");
		}
	}

	private void call(InetSocketAddress server) {
		for (boolean first = true; !this.closed; first = false) {
			Socket socket = new Socket();
			this.sockets.add(socket);
			try (socket) {
				socket.connect(server, CONNECT_MILLIS);
				send(socket, first);
			}
			catch (IOException ex) {
				// Refused or disconnected: the caller comes again.
				if (first) {
					this.firstRound.countDown();
				}
			}
			this.sockets.remove(socket);
			LockSupport.parkNanos(RECONNECT_NANOS);
		}
	}

	private void send(Socket socket, boolean first) throws IOException {
		socket.getOutputStream().write(this.opening);
		if (first) {
			this.firstRound.countDown();
		}
		if (this.repeated.length == 0) {
			awaitEnd(socket);
		}
		while (this.repeated.length > 0 && !this.closed) {
			socket.getOutputStream().write(this.repeated);
		}
	}

	private static void awaitEnd(Socket socket) throws IOException {
		InputStream in = socket.getInputStream();
		byte[] buffer = new byte[1_024];
		int read = in.read(buffer);
		while (read >= 0) {
			read = in.read(buffer);
		}
	}

	@Override
	public void close() throws Exception {
		this.closed = true;
		while (this.threads.stream().anyMatch(Thread::isAlive)) {
			for (Socket socket : this.sockets) {
				socket.close();
			}
			LockSupport.parkNanos(RECONNECT_NANOS);
		}
	}

}
