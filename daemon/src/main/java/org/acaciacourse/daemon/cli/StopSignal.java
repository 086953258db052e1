package org.acaciacourse.daemon.cli;

import java.util.concurrent.CountDownLatch;

import sun.misc.Signal;

/**
 * Turns SIGTERM and SIGINT into a graceful shutdown. The virtual machine's own handling
 * would exit with 143 and could not tell a second signal from the first.
 * <p>
 * Thread safe.
 */
public final class StopSignal {

	private final CountDownLatch first = new CountDownLatch(1);

	private final CountDownLatch second = new CountDownLatch(2);

	private StopSignal() {
	}

	/**
	 * Take over the signals of this process.
	 * @return what waits for them
	 */
	public static StopSignal install() {
		StopSignal stop = new StopSignal();
		for (String name : new String[] { "TERM", "INT" }) {
			Signal.handle(new Signal(name), (signal) -> stop.signalled());
		}
		return stop;
	}

	private void signalled() {
		this.first.countDown();
		this.second.countDown();
	}

	/**
	 * Wait for the first signal.
	 * @throws InterruptedException if the thread is interrupted
	 */
	public void await() throws InterruptedException {
		this.first.await();
	}

	/**
	 * Return whether a second signal came, which ends a drain.
	 * @return whether to stop at once
	 */
	public boolean isRepeated() {
		return this.second.getCount() == 0;
	}

}
