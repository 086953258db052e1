package org.acaciacourse.daemon.telemetry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.message.ObjectMessage;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class QueuedLoggerTests {

	private static final long NEVER_MILLIS = TimeUnit.HOURS.toMillis(1);

	private final Output output = new Output();

	private QueuedLogger logger(String name, LogQueue queue) {
		return new QueuedLogger(name, queue);
	}

	private static void await(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	@Nested
	class BeforeThereIsAnOutput {

		/*
		 * All VMs restart at the same time. Each process logs its startup, but creates
		 * the log output only later, when it serves. Lines logged in between must then be
		 * written in order and with the time at which they were logged.
		 */
		@Test
		void linesAreWrittenLaterWithTheTimeOfTheirEvent() throws Exception {
			CountDownLatch served = new CountDownLatch(1);
			LogQueue queue = new LogQueue(() -> {
				await(served);
				return QueuedLoggerTests.this.output;
			}, 0);
			queue.start();
			QueuedLogger logger = logger("org.acaciacourse.Daemon", queue);
			long before = System.currentTimeMillis();
			logger.info("started at {}", "here");
			logger.info(new ObjectMessage(Map.of("event", "fleet")));
			long after = System.currentTimeMillis();
			served.countDown();
			QueuedLogLine first = QueuedLoggerTests.this.output.next();
			QueuedLogLine second = QueuedLoggerTests.this.output.next();
			assertThat(first.message().getFormattedMessage()).isEqualTo("started at here");
			assertThat(first.logger()).isEqualTo("org.acaciacourse.Daemon");
			assertThat(first.level()).isEqualTo(Level.INFO);
			assertThat(first.at()).isAtLeast(before);
			assertThat(second.at()).isAtMost(after);
			assertThat(((ObjectMessage) second.message()).getParameter()).isEqualTo(Map.of("event", "fleet"));
		}

		/*
		 * A process exits before it has created the output, because its address is in
		 * use. Its last lines hold the reason, so the flush must create the output and
		 * write them.
		 */
		@Test
		void flushCreatesTheOutputAndWritesQueuedLines() throws Exception {
			LogQueue queue = new LogQueue(() -> QueuedLoggerTests.this.output, NEVER_MILLIS);
			queue.start();
			logger("org.acaciacourse.Daemon", queue).error("address in use");
			queue.flush();
			assertThat(QueuedLoggerTests.this.output.next().message().getFormattedMessage())
				.isEqualTo("address in use");
		}

		/*
		 * A process that fills the queue before its output exists must create the output
		 * at once instead of after the delay.
		 */
		@Test
		void fullQueueCreatesTheOutputAtOnce() throws Exception {
			LogQueue queue = new LogQueue(() -> QueuedLoggerTests.this.output, NEVER_MILLIS);
			queue.start();
			QueuedLogger logger = logger("org.acaciacourse.Daemon", queue);
			while (queue.dropped() == 0) {
				logger.info("one of many");
			}
			assertThat(QueuedLoggerTests.this.output.next().message().getFormattedMessage()).isEqualTo("one of many");
		}

	}

	@Nested
	class Levels {

		@Test
		void levelDependsOnTheLoggerName() throws Exception {
			LogQueue queue = new LogQueue(() -> QueuedLoggerTests.this.output, 0);
			queue.start();
			logger("org.acaciacourse.core.Any", queue).debug("a detail");
			logger("org.apache.thrift.transport.Any", queue).error("a connection broke");
			logger("io.netty.Any", queue).info("chatter");
			logger("io.netty.Any", queue).warn("a warning");
			logger("org.acaciacourse", queue).info("a decision");
			List<String> messages = new ArrayList<>();
			messages.add(QueuedLoggerTests.this.output.next().message().getFormattedMessage());
			messages.add(QueuedLoggerTests.this.output.next().message().getFormattedMessage());
			assertThat(messages).containsExactly("a warning", "a decision").inOrder();
		}

	}

	/** Records the lines written to it. */
	private static final class Output implements Consumer<QueuedLogLine> {

		private final BlockingQueue<QueuedLogLine> written = new LinkedBlockingQueue<>();

		@Override
		public void accept(QueuedLogLine line) {
			this.written.add(line);
		}

		QueuedLogLine next() throws InterruptedException {
			return this.written.take();
		}

	}

}
