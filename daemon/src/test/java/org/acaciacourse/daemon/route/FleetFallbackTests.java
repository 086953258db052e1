package org.acaciacourse.daemon.route;

import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.acaciacourse.core.route.Fleet;
import org.acaciacourse.core.route.FleetEndpoint;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class FleetFallbackTests {

	private static final long BOUND_SECONDS = 20;

	// Guards against a list that ends the thread which reads it, and with it the entry
	// VM.
	@Test
	void listIsReadAgainAfterAFault() throws Exception {
		Fleet fleet = Fleet.of(List.of(new FleetEndpoint("i-1", "pool", "127.0.0.1:1", "dc", 4, false)));
		AtomicInteger reads = new AtomicInteger();
		BlockingQueue<Fleet> received = new ArrayBlockingQueue<>(1);
		try (FleetFallback fallback = new FleetFallback(() -> {
			if (reads.incrementAndGet() == 1) {
				throw new IllegalStateException("the list is not as expected");
			}
			return fleet;
		}, (next, readAt) -> received.offer(next))) {
			fallback.start();
			assertThat(received.poll(BOUND_SECONDS, TimeUnit.SECONDS)).isEqualTo(fleet);
		}
	}

}
