package org.acaciacourse.daemon.telemetry;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.core.Appender;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.appender.AbstractAppender;
import org.apache.logging.log4j.core.config.Configuration;
import org.apache.logging.log4j.core.config.LoggerConfig;
import org.apache.logging.log4j.core.config.Property;
import org.jctools.queues.MpscBlockingConsumerArrayQueue;

/**
 * A bounded ring before an appender, with a thread that writes. Whoever logs never waits:
 * a line that finds the ring full is dropped and counted, and once there is room again a
 * line tells how many were. A reader of the log that stands still so costs lines and no
 * request. Log4j's own asynchronous appender drops too, but does not count.
 * <p>
 * Thread safe.
 */
public final class LogQueue extends AbstractAppender {

	/**
	 * Lines of a few hundred bytes: a quarter of a megabyte, and seconds of a usual load.
	 */
	private static final int CAPACITY = 1024;

	private static final long FLUSH_MILLIS = 50;

	private static final String NAME = "bounded";

	private final MpscBlockingConsumerArrayQueue<org.apache.logging.log4j.core.LogEvent> ring = new MpscBlockingConsumerArrayQueue<>(
			CAPACITY);

	private final AtomicLong dropped = new AtomicLong();

	private final Appender target;

	private volatile boolean closed;

	private long told;

	LogQueue(Appender target) {
		super(NAME, null, null, true, Property.EMPTY_ARRAY);
		this.target = target;
	}

	/**
	 * Put a queue before an appender of the configuration in force.
	 * @param appender the name of the appender, which the root logger writes to
	 * @return the queue
	 */
	public static LogQueue install(String appender) {
		LoggerContext context = (LoggerContext) LogManager.getContext(false);
		Configuration configuration = context.getConfiguration();
		LogQueue queue = new LogQueue(configuration.getAppender(appender));
		queue.start();
		configuration.addAppender(queue);
		LoggerConfig root = configuration.getRootLogger();
		root.removeAppender(appender);
		root.addAppender(queue, null, null);
		context.updateLoggers();
		return queue;
	}

	/**
	 * Find the queue of the configuration in force.
	 * @return the queue, if one was installed
	 */
	public static Optional<LogQueue> installed() {
		LoggerContext context = (LoggerContext) LogManager.getContext(false);
		return Optional.ofNullable(context.getConfiguration().<Appender>getAppender(NAME))
			.filter(LogQueue.class::isInstance)
			.map(LogQueue.class::cast);
	}

	@Override
	public void start() {
		super.start();
		Thread writer = new Thread(this::write, "log");
		writer.setDaemon(true);
		writer.start();
	}

	@Override
	public void append(org.apache.logging.log4j.core.LogEvent event) {
		if (!this.ring.offer(event.toImmutable())) {
			this.dropped.incrementAndGet();
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
			while (!this.closed) {
				org.apache.logging.log4j.core.LogEvent event = this.ring.poll(1, TimeUnit.SECONDS);
				if (event != null) {
					this.target.append(event);
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
			DecisionLog.write(LogEvent.LINES_DROPPED, now - this.told);
			this.told = now;
		}
	}

	/** Write what waits, as far as it can be written soon, and end. */
	public void flush() {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FLUSH_MILLIS);
		while (!this.ring.isEmpty() && System.nanoTime() < end) {
			Thread.onSpinWait();
		}
		this.closed = true;
	}

}
