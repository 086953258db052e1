package org.acaciacourse.daemon.telemetry;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.message.SimpleMessage;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class LogQueueTests {

	// Nobody reads standard output, so that the write of the first line blocks. Logging
	// must not block; lines that do not fit are counted, and the others are written in
	// order once there is a reader again.
	@Test
	void stalledOutputDoesNotBlockLogging() throws Exception {
		CountDownLatch stalled = new CountDownLatch(1);
		CountDownLatch goOn = new CountDownLatch(1);
		List<String> written = new CopyOnWriteArrayList<>();
		Consumer<QueuedLogLine> output = (line) -> {
			stalled.countDown();
			try {
				goOn.await();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
			written.add(line.message().getFormattedMessage());
		};
		LogQueue queue = new LogQueue(output);
		queue.start();
		queue.append(line(0));
		stalled.await();
		for (int i = 1; i < 5000; i++) {
			queue.append(line(i));
		}
		long dropped = queue.dropped();
		assertThat(dropped).isGreaterThan(0L);
		goOn.countDown();
		while (written.size() < 5000 - dropped) {
			LockSupport.parkNanos(1_000_000);
		}
		assertThat(written.subList(0, 100))
			.containsExactlyElementsIn(java.util.stream.IntStream.range(0, 100).mapToObj(Integer::toString).toList())
			.inOrder();
	}

	/*
	 * Writes to standard output fail for a while because its reader is gone. The writer
	 * thread must survive that; otherwise the process would never log again.
	 */
	@Test
	void failedWriteLosesOnlyItsLine() throws Exception {
		BlockingQueue<String> written = new LinkedBlockingQueue<>();
		LogQueue queue = new LogQueue((line) -> {
			String text = line.message().getFormattedMessage();
			if (text.equals("0")) {
				throw new UncheckedIOException(new IOException("broken pipe"));
			}
			written.add(text);
		});
		queue.start();
		queue.append(line(0));
		queue.append(line(1));
		assertThat(written.take()).isEqualTo("1");
		assertThat(queue.dropped()).isEqualTo(1);
	}

	/*
	 * A process exits right after its last lines. Lines that were appended before the
	 * flush must be completely written when it returns.
	 */
	@Test
	void flushReturnsOnceTheLastLineIsWritten() throws Exception {
		List<String> written = new CopyOnWriteArrayList<>();
		LogQueue queue = new LogQueue((line) -> written.add(line.message().getFormattedMessage()));
		queue.start();
		queue.append(line(1));
		queue.append(line(2));
		queue.flush();
		assertThat(written).containsExactly("1", "2").inOrder();
	}

	private static QueuedLogLine line(int number) {
		return new QueuedLogLine(0, Level.INFO, "logger", new SimpleMessage(Integer.toString(number)),
				Optional.empty());
	}

}
