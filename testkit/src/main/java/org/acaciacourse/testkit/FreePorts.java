package org.acaciacourse.testkit;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Picks free loopback ports below the range that the kernel gives to outgoing
 * connections, so that none is taken between the choice and its use.
 * <p>
 * Thread safe.
 */
public final class FreePorts {

	private static final int FIRST = 12_000;

	private static final int COUNT = 18_000;

	private static final AtomicInteger NEXT = new AtomicInteger((int) (ProcessHandle.current().pid() * 97 % COUNT));

	private FreePorts() {
	}

	/**
	 * Find the next one.
	 * @return a port that nothing listens on
	 */
	public static int next() {
		for (int i = 0; i < COUNT; i++) {
			int port = FIRST + Math.floorMod(NEXT.getAndIncrement(), COUNT);
			// Free at all addresses, as processes of a test may have several.
			try (ServerSocket socket = new ServerSocket(port, 1)) {
				return socket.getLocalPort();
			}
			catch (IOException ex) {
				// Taken; the next one is tried.
			}
		}
		throw new AssertionError("no free port");
	}

}
