package org.acaciacourse.daemon.telemetry;

import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

import org.apache.logging.log4j.core.Appender;
import org.apache.logging.log4j.core.LogEvent;
import org.jctools.queues.MpscBlockingConsumerArrayQueue;

/**
 * A bounded ring before an appender, with a thread that writes. Whoever logs never waits:
 * a line that finds the ring full is dropped and counted, and once there is room again a
 * line tells how many were. A reader of the log that stands still so costs lines and no
 * request. Log4j's own asynchronous appender drops too, but does not count.
 * <p>
 * The appender may be made late, by the thread that writes: making it takes a third of
 * the processor time until an entry serves.
 * <p>
 * Thread safe.
 */
public final class LogQueue {

	/**
	 * Lines of a few hundred bytes: a quarter of a megabyte, and seconds of a usual load.
	 */
	private static final int CAPACITY = 1024;

	private static final long FLUSH_MILLIS = 50;

	/** What making the appender and writing what waits takes at an early end. */
	private static final long LATE_FLUSH_MILLIS = 1_000;

	private final MpscBlockingConsumerArrayQueue<Supplier<LogEvent>> ring = new MpscBlockingConsumerArrayQueue<>(
			CAPACITY);

	private final AtomicLong dropped = new AtomicLong();

	private final CountDownLatch hurried = new CountDownLatch(1);

	private final Supplier<Appender> target;

	private final long delayMillis;

	private volatile boolean writing;

	private volatile boolean closed;

	private long told;

	LogQueue(Appender target) {
		this(() -> target, 0);
	}

	/**
	 * Make a queue.
	 * @param target makes the appender
	 * @param delayMillis how long after the start it is made, unless the ring gets full
	 */
	LogQueue(Supplier<Appender> target, long delayMillis) {
		this.target = target;
		this.delayMillis = delayMillis;
	}

	/**
	 * Find the queue of this process.
	 * @return the queue, if the lines of this process pass one
	 */
	public static Optional<LogQueue> installed() {
		return QueuedLog.queue();
	}

	/** Begin to write. */
	void start() {
		Thread writer = new Thread(this::write, "log");
		writer.setDaemon(true);
		writer.start();
	}

	void append(LogEvent event) {
		LogEvent kept = event.toImmutable();
		append(() -> kept);
	}

	/**
	 * Write a line, or drop it.
	 * @param line makes the line's event, on the thread that writes
	 */
	void append(Supplier<LogEvent> line) {
		if (!this.ring.offer(line)) {
			this.dropped.incrementAndGet();
			this.hurried.countDown();
		}
	}

	/**
	 * Return how many lines were dropped.
	 * @return the number since the start
	 */
	public long dropped() {
		return this.dropped.get();
	}

	private void write() {
		try {
			this.hurried.await(this.delayMillis, TimeUnit.MILLISECONDS);
			Appender appender = this.target.get();
			this.writing = true;
			while (!this.closed) {
				Supplier<LogEvent> line = this.ring.poll(1, TimeUnit.SECONDS);
				if (line != null) {
					appender.append(line.get());
					tellDropped();
				}
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void tellDropped() {
		long now = this.dropped.get();
		if (now != this.told && this.ring.size() < CAPACITY / 2) {
			DecisionLog.write(org.acaciacourse.daemon.telemetry.LogEvent.LINES_DROPPED, now - this.told);
			this.told = now;
		}
	}

	/** Write what waits, as far as it can be written soon, and end. */
	public void flush() {
		this.hurried.countDown();
		long most = (this.writing) ? FLUSH_MILLIS : LATE_FLUSH_MILLIS;
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(most);
		while (!this.ring.isEmpty() && System.nanoTime() < end) {
			Thread.onSpinWait();
		}
		this.closed = true;
	}

}
