package org.acaciacourse.daemon.telemetry;

import java.io.UncheckedIOException;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.acaciacourse.daemon.process.EssentialThread;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.message.SimpleMessage;
import org.jctools.queues.MpscBlockingConsumerArrayQueue;

/**
 * A bounded ring buffer in front of an output, with a writer thread. Logging never
 * blocks: a line is dropped and counted if the ring is full, and once there is room again
 * the number of dropped lines is logged. A stalled reader of the log therefore costs
 * lines but does not delay requests. Log4j's own asynchronous appender also drops lines,
 * but does not count them.
 * <p>
 * The writer thread may create the output some time after the start.
 * <p>
 * Thread safe.
 */
public final class LogQueue {

	/**
	 * Holds the lines of some seconds under a usual load. With lines of a few hundred
	 * bytes, this takes a quarter of a megabyte.
	 */
	private static final int CAPACITY = 1024;

	private static final long FLUSH_MILLIS = 50;

	/** The limit for a flush before the output exists, which has to be created first. */
	private static final long FIRST_FLUSH_MILLIS = 1_000;

	/** Wakes the writer thread and makes it end. */
	private static final QueuedLogLine END = new QueuedLogLine(0, Level.OFF, "", new SimpleMessage(""),
			Optional.empty());

	private final MpscBlockingConsumerArrayQueue<QueuedLogLine> ring = new MpscBlockingConsumerArrayQueue<>(CAPACITY);

	private final AtomicLong dropped = new AtomicLong();

	private final CountDownLatch outputDue = new CountDownLatch(1);

	private final Supplier<Consumer<QueuedLogLine>> outputFactory;

	private final long delayMillis;

	private final Thread writer = new EssentialThread(this::write, "log");

	private volatile boolean outputCreated;

	private long reportedDropped;

	LogQueue(Consumer<QueuedLogLine> target) {
		this(() -> target, 0);
	}

	/**
	 * Create a queue.
	 * @param target creates the output
	 * @param delayMillis the time from the start until the output is created; it is
	 * created earlier if the ring gets full
	 */
	LogQueue(Supplier<Consumer<QueuedLogLine>> target, long delayMillis) {
		this.outputFactory = target;
		this.delayMillis = delayMillis;
	}

	/**
	 * Return the queue of this process.
	 * @return the queue, empty if none is installed
	 */
	public static Optional<LogQueue> installed() {
		return QueuedLog.queue();
	}

	/** Start the writer thread. */
	void start() {
		this.writer.start();
	}

	/**
	 * Add a line to the queue, or drop it if the queue is full.
	 * @param line the line
	 */
	void append(QueuedLogLine line) {
		if (!this.ring.offer(line)) {
			this.dropped.incrementAndGet();
			this.outputDue.countDown();
		}
	}

	/**
	 * Return the number of dropped lines.
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

	// A write fails while the output has no reader, which may come back. The number of
	// lost lines is logged after the next line that could be written.
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

	/** Write the queued lines within a time limit and stop the writer thread. */
	public void flush() {
		this.outputDue.countDown();
		// A full ring has no room for the end marker. A writer that cannot empty it
		// within the limit is abandoned in any case.
		this.ring.offer(END);
		try {
			this.writer.join((this.outputCreated) ? FLUSH_MILLIS : FIRST_FLUSH_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
