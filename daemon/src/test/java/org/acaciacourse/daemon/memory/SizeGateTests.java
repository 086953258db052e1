package org.acaciacourse.daemon.memory;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.acaciacourse.daemon.memory.SizeGate.Admission;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link SizeGate}.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class SizeGateTests {

	private static final int CAPACITY = 100;

	private static final Duration LONG = Duration.ofMinutes(1);

	private final SizeGate gate = new SizeGate(CAPACITY);

	private Optional<Admission> tryEnter(long bytes) throws InterruptedException {
		return this.gate.enter(bytes, Duration.ZERO);
	}

	@Test
	void admitsWhatFitsTogether() throws Exception {
		Admission first = tryEnter(60).orElseThrow();
		assertThat(tryEnter(40)).isPresent();
		assertThat(tryEnter(1)).isEmpty();
		first.close();
		assertThat(tryEnter(60)).isPresent();
	}

	@Test
	void admitsLargerWorkAlone() throws Exception {
		Admission small = tryEnter(1).orElseThrow();
		assertThat(tryEnter(10 * CAPACITY)).isEmpty();
		small.close();
		Admission large = tryEnter(10 * CAPACITY).orElseThrow();
		assertThat(tryEnter(1)).isEmpty();
		large.close();
		assertThat(tryEnter(CAPACITY)).isPresent();
	}

	// Guards against a large order that never comes to its turn as small ones pass it.
	@Test
	void admitsInOrder() throws Exception {
		Admission first = tryEnter(50).orElseThrow();
		List<Integer> admitted = Collections.synchronizedList(new ArrayList<>());
		List<Thread> threads = new ArrayList<>();
		for (int bytes : new int[] { CAPACITY, 10, 20 }) {
			Thread thread = new Thread(() -> {
				try (Admission admission = this.gate.enter(bytes, LONG).orElseThrow()) {
					admitted.add(bytes);
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
			});
			thread.start();
			threads.add(thread);
			while (this.gate.waiting() < threads.size()) {
				Thread.onSpinWait();
			}
		}
		assertThat(admitted).isEmpty();
		first.close();
		for (Thread thread : threads) {
			thread.join();
		}
		assertThat(admitted.get(0)).isEqualTo(CAPACITY);
		assertThat(admitted).containsExactly(CAPACITY, 10, 20);
	}

}
