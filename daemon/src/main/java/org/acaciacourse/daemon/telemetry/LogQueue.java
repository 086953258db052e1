package org.acaciacourse.daemon.telemetry;

import java.io.UncheckedIOException;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.message.SimpleMessage;
import org.jctools.queues.MpscBlockingConsumerArrayQueue;

/**
 * A bounded ring before an output, with a thread that writes. Whoever logs never waits: a
 * line that finds the ring full is dropped and counted, and once there is room again a
 * line tells how many were. A reader of the log that stands still so costs lines and no
 * request. Log4j's own asynchronous appender drops too, but does not count.
 * <p>
 * The output may be made late, by the thread that writes.
 * <p>
 * Thread safe.
 */
public final class LogQueue {

	/**
	 * Lines of a few hundred bytes: a quarter of a megabyte, and seconds of a usual load.
	 */
	private static final int CAPACITY = 1024;

	private static final long FLUSH_MILLIS = 50;

	/** What making the output and writing what waits takes at an early end. */
	private static final long FIRST_FLUSH_MILLIS = 1_000;

	/** Wakes the thread that writes, which ends. */
	private static final QueuedLogLine END = new QueuedLogLine(0, Level.OFF, "", new SimpleMessage(""),
			Optional.empty());

	private final MpscBlockingConsumerArrayQueue<QueuedLogLine> ring = new MpscBlockingConsumerArrayQueue<>(CAPACITY);

	private final AtomicLong dropped = new AtomicLong();

	private final CountDownLatch outputDue = new CountDownLatch(1);

	private final Supplier<Consumer<QueuedLogLine>> outputFactory;

	private final long delayMillis;

	private final Thread writer = new Thread(this::write, "log");

	private volatile boolean outputCreated;

	private long reportedDropped;

	LogQueue(Consumer<QueuedLogLine> target) {
		this(() -> target, 0);
	}

	/**
	 * Make a queue.
	 * @param target makes the output
	 * @param delayMillis how long after the start it is made, unless the ring gets full
	 */
	LogQueue(Supplier<Consumer<QueuedLogLine>> target, long delayMillis) {
		this.outputFactory = target;
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
		this.writer.setDaemon(true);
		this.writer.start();
	}

	/**
	 * Write a line, or drop it.
	 * @param line the line
	 */
	void append(QueuedLogLine line) {
		if (!this.ring.offer(line)) {
			this.dropped.incrementAndGet();
			this.outputDue.countDown();
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
			this.outputDue.await(this.delayMillis, TimeUnit.MILLISECONDS);
			Consumer<QueuedLogLine> output = this.outputFactory.get();
			this.outputCreated = true;
			for (QueuedLogLine line = this.ring.take(); line != END; line = this.ring.take()) {
				if (write(output, line)) {
					reportDropped();
				}
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	// Whoever reads the output may be gone, and come back. Lines that are lost are told
	// after the next one that could be written.
	private boolean write(Consumer<QueuedLogLine> output, QueuedLogLine line) {
		try {
			output.accept(line);
			return true;
		}
		catch (UncheckedIOException ex) {
			this.dropped.incrementAndGet();
			return false;
		}
	}

	private void reportDropped() {
		long total = this.dropped.get();
		if (total != this.reportedDropped && this.ring.size() < CAPACITY / 2) {
			DecisionLog.write(LogEvent.LINES_DROPPED, total - this.reportedDropped);
			this.reportedDropped = total;
		}
	}

	/** Write what waits, as far as it can be written soon, and end. */
	public void flush() {
		this.outputDue.countDown();
		// A full ring has no place for the end, and a writer that has not got through
		// it by then is given up in any case.
		this.ring.offer(END);
		try {
			this.writer.join((this.outputCreated) ? FLUSH_MILLIS : FIRST_FLUSH_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
