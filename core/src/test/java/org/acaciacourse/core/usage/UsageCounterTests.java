package org.acaciacourse.core.usage;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class UsageCounterTests {

	private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

	private final UsageCounter counter = new UsageCounter();

	private final UsageCollector collector = new UsageCollector();

	private static RunUsage usage(String run, long completeUntil, UsageCounter.Changes changes) {
		return new RunUsage(run, completeUntil, changes.windows());
	}

	@Nested
	class Changes {

		@Test
		void onlyWhatIsNewIsTold() {
			UsageCounterTests.this.counter.count("a", 7);
			UsageCounterTests.this.counter.count("b", 7);
			UsageCounter.Changes first = UsageCounterTests.this.counter.changesSince(0);
			assertThat(first.windows()).containsExactly(new UsageReport(7, Map.of("a", 1L, "b", 1L)));
			UsageCounterTests.this.counter.count("a", 7);
			UsageCounterTests.this.counter.count("a", 8);
			assertThat(UsageCounterTests.this.counter.changesSince(first.position()).windows())
				.containsExactly(new UsageReport(7, Map.of("a", 2L)), new UsageReport(8, Map.of("a", 1L)));
			assertThat(UsageCounterTests.this.counter.changesSince(0).windows()).hasSize(2);
		}

		// Guards against requests that are counted in a window after it was reported.
		@Test
		void fixedWindowsAreForgotten() {
			UsageCounterTests.this.counter.count("a", 7);
			UsageCounterTests.this.counter.frozen(7);
			UsageCounterTests.this.counter.count("a", 7);
			assertThat(UsageCounterTests.this.counter.changesSince(0).windows()).isEmpty();
			assertThat(UsageCounterTests.this.counter.lateRequests()).isEqualTo(1);
		}

		// Guards against memory that grows while no window is fixed.
		@Test
		void oldestWindowsAreDropped() {
			for (int i = 0; i < 2 * UsageCounter.MAX_WINDOWS; i++) {
				UsageCounterTests.this.counter.count("a", i);
			}
			assertThat(UsageCounterTests.this.counter.changesSince(0).windows()).hasSize(UsageCounter.MAX_WINDOWS);
		}

	}

	@Nested
	class Collector {

		// Guards against counts that are wrong as a message came twice, late or by way of
		// another control VM.
		@Test
		void messagesInAnyOrderGiveTheSameCounts() {
			for (int seed = 0; seed < 50; seed++) {
				Random random = new Random(seed);
				UsageCollector first = new UsageCollector();
				UsageCollector second = new UsageCollector();
				UsageCounter counted = new UsageCounter();
				long position = 0;
				for (int i = 0; i < 200; i++) {
					counted.count("customer-" + random.nextInt(3), 5 + random.nextInt(2));
					if (random.nextInt(10) == 0) {
						UsageCounter.Changes changes = counted.changesSince(random.nextBoolean() ? position : 0);
						RunUsage usage = usage("run", i, changes);
						(random.nextBoolean() ? first : second).record(usage, 0);
						(random.nextBoolean() ? first : second).record(usage, 0);
						position = 0;
					}
				}
				first.record(usage("run", 200, counted.changesSince(0)), 0);
				second.merge(first.known(0), 0);
				first.merge(second.known(0), 0);
				assertThat(first.total(5).total() + first.total(6).total()).isEqualTo(200);
				assertThat(second.total(5)).isEqualTo(first.total(5));
			}
		}

		@Test
		void runsOfOneVmAreAdded() {
			UsageCounterTests.this.counter.count("a", 7);
			UsageCounterTests.this.collector.record(usage("vm/1", 0, UsageCounterTests.this.counter.changesSince(0)),
					0);
			UsageCounterTests.this.collector.record(usage("vm/2", 0, UsageCounterTests.this.counter.changesSince(0)),
					0);
			assertThat(UsageCounterTests.this.collector.total(7)).isEqualTo(new UsageReport(7, Map.of("a", 2L)));
		}

		// Guards against a window that is reported before a live entry VM has told its
		// counts, and against one that waits for a VM that is gone.
		@Test
		void onlyLiveRunsAreWaitedFor() {
			UsageCollector collector = UsageCounterTests.this.collector;
			collector.record(new RunUsage("slow", 4_000, List.of()), 0);
			collector.record(new RunUsage("ready", 6_000, List.of()), 0);
			collector.record(new RunUsage("stopped", RunUsage.ENDED, List.of()), 0);
			assertThat(collector.incomplete(5_000, SECOND)).containsExactly("slow");
			collector.record(new RunUsage("slow", 5_000, List.of()), SECOND);
			assertThat(collector.incomplete(5_000, SECOND)).isEmpty();
			assertThat(collector.incomplete(7_000, 6 * SECOND)).isEmpty();
		}

		@Test
		void runsAndWindowsAreBounded() {
			UsageCollector collector = UsageCounterTests.this.collector;
			for (int i = 0; i < UsageCollector.MAX_RUNS + 5; i++) {
				collector.record(new RunUsage("run-" + i, 0, List.of(new UsageReport(1, Map.of("a", 1L)))), 0);
			}
			assertThat(collector.total(1).total()).isEqualTo(UsageCollector.MAX_RUNS);
			collector.frozen(1);
			assertThat(collector.total(1).total()).isEqualTo(0);
			collector.record(new RunUsage("next", 0, List.of()), 1_000 * SECOND);
			assertThat(collector.known(1_000 * SECOND)).hasSize(1);
		}

	}

}
