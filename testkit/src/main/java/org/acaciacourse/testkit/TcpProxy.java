package org.acaciacourse.testkit;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Passes TCP connections on and can cut them, silence those that are open while new ones
 * work, and delay what they carry.
 * <p>
 * Thread safe.
 */
public final class TcpProxy implements AutoCloseable {

	private static final int BUFFER = 16_384;

	private static final int BACKLOG = 512;

	private static final int FILL_MILLIS = 50;

	private final List<Link> links = new CopyOnWriteArrayList<>();

	private final int port;

	private final int targetPort;

	/** Fill the queue of a listener that accepts nothing. */
	private final List<Socket> fillers = new ArrayList<>();

	private volatile ServerSocket listener;

	private volatile Thread acceptor;

	private volatile long delayNanos;

	/**
	 * Begin to pass connections on.
	 * @param targetPort the loopback port that they go to
	 * @throws IOException if no port can be had
	 */
	public TcpProxy(int targetPort) throws IOException {
		this.targetPort = targetPort;
		this.listener = new ServerSocket(FreePorts.next(), BACKLOG, InetAddress.getLoopbackAddress());
		this.port = this.listener.getLocalPort();
		this.acceptor = start(() -> accept(this.listener));
	}

	/**
	 * Return the port that takes connections.
	 * @return the port
	 */
	public int port() {
		return this.port;
	}

	/** Close every open connection. */
	public void cut() {
		this.links.forEach(Link::close);
	}

	/**
	 * Pass nothing on any more over the connections that are open, in either direction,
	 * without closing them.
	 * @return how many there were
	 */
	public int silence() {
		List<Link> open = this.links.stream().filter((link) -> !link.silent).toList();
		open.forEach((link) -> link.silent = true);
		return open.size();
	}

	/**
	 * Cut the callers off from the target until {@link #restore()}.
	 * @param cut what the callers see of it
	 * @throws IOException if the port can't be used
	 */
	public synchronized void isolate(Cut cut) throws IOException {
		closeListener();
		if (cut.hangs) {
			fillQueue();
		}
		cut.apply(this.links);
	}

	// Until its thread has noticed the close, a listener goes on accepting.
	private void closeListener() throws IOException {
		this.listener.close();
		Waiting.until("listener closed", () -> !this.acceptor.isAlive());
	}

	// With a full queue of connections the kernel drops the packets that open one.
	private void fillQueue() throws IOException {
		this.listener = new ServerSocket(this.port, 1, InetAddress.getLoopbackAddress());
		for (boolean full = false; !full;) {
			Socket filler = new Socket();
			this.fillers.add(filler);
			try {
				filler.connect(this.listener.getLocalSocketAddress(), FILL_MILLIS);
			}
			catch (SocketTimeoutException ex) {
				full = true;
			}
		}
	}

	/**
	 * Let new connections pass again.
	 * @throws IOException if the port can't be used
	 */
	public synchronized void restore() throws IOException {
		closeListener();
		for (Socket filler : this.fillers) {
			filler.close();
		}
		this.fillers.clear();
		ServerSocket next = new ServerSocket(this.port, BACKLOG, InetAddress.getLoopbackAddress());
		this.listener = next;
		this.acceptor = start(() -> accept(next));
	}

	/**
	 * Delay what is passed on from now on.
	 * @param millis the delay of each piece of data
	 */
	public void delay(int millis) {
		this.delayNanos = TimeUnit.MILLISECONDS.toNanos(millis);
	}

	@Override
	public synchronized void close() throws IOException {
		this.listener.close();
		for (Socket filler : this.fillers) {
			filler.close();
		}
		cut();
	}

	private void accept(ServerSocket socket) {
		try {
			while (true) {
				Socket caller = socket.accept();
				Link link = new Link(caller, connect(caller));
				this.links.add(link);
				start(() -> link.pump(link.caller, link.target));
				start(() -> link.pump(link.target, link.caller));
			}
		}
		catch (IOException ex) {
			// The listener was closed, by an end or by a cut that leaves open
			// connections.
		}
	}

	private Socket connect(Socket caller) throws IOException {
		caller.setTcpNoDelay(true);
		try {
			Socket target = new Socket(InetAddress.getLoopbackAddress(), this.targetPort);
			target.setTcpNoDelay(true);
			return target;
		}
		catch (IOException ex) {
			caller.close();
			return new Socket();
		}
	}

	private static Thread start(Runnable duty) {
		Thread thread = new Thread(duty, "proxy");
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	/** What callers see of a cut. */
	public enum Cut {

		/** Nothing passes any more, and new connections hang. */
		SILENT(true) {
			@Override
			void apply(List<Link> links) {
				links.forEach((link) -> link.silent = true);
			}
		},

		/** Only what goes to the target passes, and new connections hang. */
		ONE_WAY(true) {
			@Override
			void apply(List<Link> links) {
				links.forEach((link) -> link.silentToCaller = true);
			}
		},

		/** Open connections are reset, and new ones are refused. */
		RESET(false) {
			@Override
			void apply(List<Link> links) {
				links.forEach(Link::reset);
			}
		},

		/** Open connections live on, and new ones are refused. */
		NEW_REFUSED(false) {
			@Override
			void apply(List<Link> links) {
			}
		};

		private final boolean hangs;

		Cut(boolean hangs) {
			this.hangs = hangs;
		}

		abstract void apply(List<Link> links);

	}

	/** A pair of connections. */
	private final class Link {

		private final Socket caller;

		private final Socket target;

		private volatile boolean silent;

		private volatile boolean silentToCaller;

		private Link(Socket caller, Socket target) {
			this.caller = caller;
			this.target = target;
		}

		private void pump(Socket from, Socket to) {
			byte[] buffer = new byte[BUFFER];
			try {
				InputStream in = from.getInputStream();
				OutputStream out = to.getOutputStream();
				int count = in.read(buffer);
				while (count >= 0) {
					passOn(out, to == this.caller, buffer, count);
					count = in.read(buffer);
				}
			}
			catch (IOException ex) {
				// Either end was reset or closed. A reset must not look like an end.
				reset();
				return;
			}
			if (!this.silent) {
				close();
			}
		}

		private void passOn(OutputStream out, boolean toCaller, byte[] buffer, int count) throws IOException {
			LockSupport.parkNanos(TcpProxy.this.delayNanos);
			if (!this.silent && !(toCaller && this.silentToCaller)) {
				out.write(buffer, 0, count);
				out.flush();
			}
		}

		private void reset() {
			if (this.silent) {
				return;
			}
			try {
				this.caller.setSoLinger(true, 0);
				this.target.setSoLinger(true, 0);
			}
			catch (IOException ex) {
				// Closed already.
			}
			close();
		}

		private void close() {
			TcpProxy.this.links.remove(this);
			try (this.caller; this.target) {
				this.silent = true;
			}
			catch (IOException ex) {
				// Closed already.
			}
		}

	}

}
