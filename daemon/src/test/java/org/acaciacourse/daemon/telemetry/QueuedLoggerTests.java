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
		 * All VMs start again at once. Each process tells how it started, but makes the
		 * output of its log only later, when it serves. What it told meanwhile is written
		 * then, in its order and with the time at which it was told.
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
		 * A process ends before it made the output, as its address is taken. Why it ended
		 * stands in its last lines, which are written at once then.
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
		 * A process that logs more than fits before its output is made makes it at once,
		 * and tells how many lines were dropped.
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

	/** Keeps what is written. */
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
