package org.acaciacourse.core.order;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;

import org.acaciacourse.core.model.Tier;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link OrderWriter} and {@link ModelLoadBudget}.
 */
class OrderWriterTests {

	private static final OrderTiming TIMING = new OrderTiming(10, 100, 50);

	private static final EngineState NOTHING_LOADED = new EngineState(1, Set.of(), "serve");

	private final List<String> reads = new ArrayList<>();

	private final List<EngineOrder> orders = new ArrayList<>();

	private final List<String> outdated = new ArrayList<>();

	// One token per nanosecond, so that the budget is no limit unless a test sets
	// another.
	private OrderWriter writer = writer(1e9);

	private OrderWriter writer(double loadsPerSecond) {
		return new OrderWriter(TIMING, new ModelLoadBudget(3, loadsPerSecond, 0), new OrderActions() {

			@Override
			public void readState(String endpoint) {
				OrderWriterTests.this.reads.add(endpoint);
			}

			@Override
			public void send(EngineOrder order) {
				OrderWriterTests.this.orders.add(order);
			}

			@Override
			public void higherFencingNumberSeen(String endpoint, long fencingNumber) {
				OrderWriterTests.this.outdated.add(endpoint);
			}

		});
	}

	private void desire(long now, DesiredEngine... engines) {
		TreeMap<String, DesiredEngine> byName = new TreeMap<>();
		for (DesiredEngine engine : engines) {
			byName.put(engine.endpoint(), engine);
		}
		this.writer.updateDesired(byName, now);
	}

	private static DesiredEngine engine(String name, boolean checksFencing, Tier tier) {
		return new DesiredEngine(name, Set.of("m"), checksFencing, tier);
	}

	private void tick(long number, long now) {
		this.writer.tick(OptionalLong.of(number), now);
	}

	private EngineOrder lastOrder() {
		return this.orders.get(this.orders.size() - 1);
	}

	@Nested
	class FencingEngine {

		@Test
		void receivesTheFencingNumberBeforeItsStateIsTrusted() {
			// An unload order of the previous writer is still in flight. If the new
			// writer trusted its first read, the order would arrive after it and the
			// model would be missing. Once it has the new number, the engine refuses
			// the late order.
			desire(0, engine("e", true, Tier.HIGH));
			tick(2, 5);
			OrderWriterTests.this.writer.stateRead("e", 2, new EngineState(1, Set.of("m"), "serve"));
			tick(2, 6);
			assertThat(lastOrder()).isEqualTo(new EngineOrder("e", 2, EngineOrder.Kind.ROLE, "serve"));
			OrderWriterTests.this.writer.orderCompleted(lastOrder());
			tick(2, 7);
			assertThat(OrderWriterTests.this.reads).hasSize(2);
			OrderWriterTests.this.writer.stateRead("e", 2, new EngineState(2, Set.of(), "serve"));
			tick(2, 8);
			assertThat(lastOrder().kind()).isEqualTo(EngineOrder.Kind.LOAD);
		}

		@Test
		void thatHasSeenAHigherNumberReceivesNoOrder() {
			desire(0, engine("e", true, Tier.HIGH));
			tick(2, 5);
			OrderWriterTests.this.writer.stateRead("e", 2, new EngineState(3, Set.of(), "serve"));
			tick(2, 6);
			assertThat(OrderWriterTests.this.orders).isEmpty();
			assertThat(OrderWriterTests.this.outdated).containsExactly("e");
		}

	}

	@Nested
	class NonFencingEngine {

		@Test
		void isReadOnlyAfterTheOrderTimeoutOfThePreviousWriter() {
			// The engine carries out every order that arrives. One that the previous
			// writer sent just before its lease expired may arrive until the order
			// timeout has passed, so an earlier read would miss its effect.
			desire(0, engine("e", false, Tier.HIGH));
			tick(2, 5);
			tick(2, 14);
			assertThat(OrderWriterTests.this.reads).isEmpty();
			tick(2, 15);
			assertThat(OrderWriterTests.this.reads).containsExactly("e");
		}

		@Test
		void isCorrectedAtTheNextReadAfterALateOrder() {
			desire(0, engine("e", false, Tier.HIGH));
			tick(2, 5);
			tick(2, 15);
			OrderWriterTests.this.writer.stateRead("e", 2, new EngineState(0, Set.of("m"), "serve"));
			tick(2, 16);
			assertThat(OrderWriterTests.this.writer.convergedCount()).isEqualTo(1);
			tick(2, 116);
			OrderWriterTests.this.writer.stateRead("e", 2, new EngineState(0, Set.of(), "serve"));
			tick(2, 117);
			assertThat(lastOrder().kind()).isEqualTo(EngineOrder.Kind.LOAD);
		}

	}

	@Nested
	class LeaseChange {

		@Test
		void withoutALeaseNothingIsSent() {
			desire(0, engine("e", true, Tier.HIGH));
			tick(1, 5);
			OrderWriterTests.this.writer.stateRead("e", 1, NOTHING_LOADED);
			OrderWriterTests.this.writer.tick(OptionalLong.empty(), 6);
			assertThat(OrderWriterTests.this.orders).isEmpty();
		}

		@Test
		void replyFromAnEarlierLeaseIsIgnored() {
			// The process loses the lease to another writer and acquires it again. The
			// reply to a read from before may describe an outdated state.
			desire(0, engine("e", true, Tier.HIGH));
			tick(1, 5);
			tick(3, 6);
			OrderWriterTests.this.writer.stateRead("e", 1, NOTHING_LOADED);
			tick(3, 7);
			assertThat(OrderWriterTests.this.orders).isEmpty();
		}

	}

	@Nested
	class DesiredStateChange {

		@Test
		void unwantedModelStaysLoadedForTheUnloadDelay() {
			desire(0, engine("e", true, Tier.HIGH));
			tick(1, 5);
			OrderWriterTests.this.writer.stateRead("e", 1, new EngineState(1, Set.of("m", "old"), "serve"));
			tick(1, 49);
			assertThat(OrderWriterTests.this.orders).isEmpty();
			tick(1, 149);
			OrderWriterTests.this.writer.stateRead("e", 1, new EngineState(1, Set.of("m", "old"), "serve"));
			tick(1, 150);
			assertThat(lastOrder()).isEqualTo(new EngineOrder("e", 1, EngineOrder.Kind.UNLOAD, "old"));
		}

		@Test
		void changesToOtherEnginesDoNotRestartTheUnloadDelay() {
			// The manifest changes some customer or endpoint every few seconds. If each
			// change restarted the delay, the memory of the model would never be freed.
			desire(0, engine("e", true, Tier.HIGH));
			tick(1, 5);
			OrderWriterTests.this.writer.stateRead("e", 1, new EngineState(1, Set.of("m", "old"), "serve"));
			desire(54, engine("e", true, Tier.HIGH), engine("other", true, Tier.HIGH));
			tick(1, 55);
			assertThat(lastOrder()).isEqualTo(new EngineOrder("e", 1, EngineOrder.Kind.UNLOAD, "old"));
		}

		@Test
		void convergedEngineIsReadAtOnceWhenItsModelsChange() {
			desire(0, engine("e", true, Tier.HIGH));
			tick(1, 5);
			OrderWriterTests.this.writer.stateRead("e", 1, new EngineState(1, Set.of("m"), "serve"));
			tick(1, 6);
			desire(7, new DesiredEngine("e", Set.of("m", "n"), true, Tier.HIGH));
			tick(1, 8);
			assertThat(OrderWriterTests.this.reads).hasSize(2);
		}

	}

	@Nested
	class Budget {

		@Test
		void massReloadDoesNotStarveALoadOfTheHighestTier() {
			// A change reloads twenty engines of the lowest tier and uses the whole load
			// budget. Meanwhile an engine of the highest tier restarts without its
			// model: its load must be the next, not the twenty-first.
			OrderWriterTests.this.writer = writer(1e8);
			List<DesiredEngine> engines = new ArrayList<>();
			for (int i = 0; i < 20; i++) {
				engines.add(engine("low" + i, true, Tier.LOW));
			}
			engines.add(engine("urgent", true, Tier.HIGH));
			desire(0, engines.toArray(new DesiredEngine[0]));
			tick(1, 5);
			engines.forEach((e) -> OrderWriterTests.this.writer.stateRead(e.endpoint(), 1,
					new EngineState(1, (e.tier() == Tier.HIGH) ? Set.of("m") : Set.of(), "serve")));
			for (long now = 6; now < 105; now++) {
				tick(1, now);
			}
			assertThat(OrderWriterTests.this.orders.size()).isIn(com.google.common.collect.Range.closed(7, 10));
			tick(1, 106);
			OrderWriterTests.this.writer.stateRead("urgent", 1, NOTHING_LOADED);
			tick(1, 107);
			assertThat(lastOrder().endpoint()).isEqualTo("urgent");
		}

	}

}
