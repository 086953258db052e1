package org.acaciacourse.daemon.telemetry;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.locks.LockSupport;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.appender.AbstractAppender;
import org.apache.logging.log4j.core.config.Property;
import org.apache.logging.log4j.core.impl.Log4jLogEvent;
import org.apache.logging.log4j.message.SimpleMessage;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class LogQueueTests {

	// Nobody reads standard output, so that the write of the first line never returns.
	// Whoever logs goes on at once all the same; what does not fit is counted, and what
	// fitted is written in its order once there is a reader again.
	@Test
	void stalledOutputHoldsNobodyUp() throws Exception {
		CountDownLatch stalled = new CountDownLatch(1);
		CountDownLatch goOn = new CountDownLatch(1);
		List<String> written = new CopyOnWriteArrayList<>();
		AbstractAppender output = new AbstractAppender("output", null, null, true, Property.EMPTY_ARRAY) {

			@Override
			public void append(LogEvent event) {
				stalled.countDown();
				try {
					goOn.await();
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
				written.add(event.getMessage().getFormattedMessage());
			}

		};
		output.start();
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

	private static LogEvent line(int number) {
		return Log4jLogEvent.newBuilder()
			.setLevel(Level.INFO)
			.setMessage(new SimpleMessage(Integer.toString(number)))
			.build();
	}

}
