package org.acaciacourse.testkit;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
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

	private final List<Link> links = new CopyOnWriteArrayList<>();

	private final ServerSocket listener;

	private final int targetPort;

	private volatile long delayNanos;

	/**
	 * Begin to pass connections on.
	 * @param targetPort the loopback port that they go to
	 * @throws IOException if no port can be had
	 */
	public TcpProxy(int targetPort) throws IOException {
		this.targetPort = targetPort;
		this.listener = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
		start(this::accept);
	}

	/**
	 * Return the port that takes connections.
	 * @return the port
	 */
	public int port() {
		return this.listener.getLocalPort();
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
	 * Delay what is passed on from now on.
	 * @param millis the delay of each piece of data
	 */
	public void delay(int millis) {
		this.delayNanos = TimeUnit.MILLISECONDS.toNanos(millis);
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
		cut();
	}

	private void accept() {
		try {
			while (true) {
				Socket caller = this.listener.accept();
				Link link = new Link(caller, connect(caller));
				this.links.add(link);
				start(() -> link.pump(link.caller, link.target));
				start(() -> link.pump(link.target, link.caller));
			}
		}
		catch (IOException ex) {
			cut();
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

	private static void start(Runnable duty) {
		Thread thread = new Thread(duty, "proxy");
		thread.setDaemon(true);
		thread.start();
	}

	/** A pair of connections. */
	private final class Link {

		private final Socket caller;

		private final Socket target;

		private volatile boolean silent;

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
					passOn(out, buffer, count);
					count = in.read(buffer);
				}
			}
			catch (IOException ex) {
				// Either end closed.
			}
			if (!this.silent) {
				close();
			}
		}

		private void passOn(OutputStream out, byte[] buffer, int count) throws IOException {
			LockSupport.parkNanos(TcpProxy.this.delayNanos);
			if (!this.silent) {
				out.write(buffer, 0, count);
				out.flush();
			}
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
