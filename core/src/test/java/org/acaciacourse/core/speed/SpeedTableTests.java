package org.acaciacourse.core.speed;

import java.util.List;
import java.util.stream.IntStream;

import com.google.common.collect.Range;
import io.vavr.control.Try;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Tests of {@link SpeedTable}. */
class SpeedTableTests {

	private static final long SECOND = 1_000_000_000L;

	private static final int ENDPOINT = 5;

	private final SpeedTable table = new SpeedTable();

	private void told(String sender, long sequence, int thousandths, int weight, long now) {
		this.table.receive(sender, sequence, false, List.of(new SpeedStatement(ENDPOINT, thousandths, weight)), now);
	}

	private double speed(long now) {
		return Math.exp(this.table.estimate(ENDPOINT, now).logSpeed());
	}

	private double weight(long now) {
		return this.table.estimate(ENDPOINT, now).weight();
	}

	private static Range<Double> about(double value) {
		return Range.closed(value * 0.99, value * 1.01);
	}

	@Nested
	class Merging {

		@Test
		void statementsCountByTheirWeight() {
			told("a", 1, 500, 30, 0);
			told("b", 1, 1_000, 10, 0);
			assertThat(speed(0)).isIn(about(Math.exp(Math.log(0.5) * 0.75)));
			assertThat(weight(0)).isIn(about(40));
		}

		/*
		 * Datagrams come twice and out of order. Counted twice, a few observations of one
		 * VM would outweigh those of all others.
		 */
		@Test
		void latestStatementReplacesTheFormerOnes() {
			told("a", 3, 500, 30, 0);
			told("a", 3, 500, 30, 0);
			told("a", 2, 2_000, 900, 0);
			assertThat(weight(0)).isIn(about(30));
			told("a", 4, 1_000, 20, SECOND);
			assertThat(weight(SECOND)).isIn(about(20));
			assertThat(speed(SECOND)).isIn(about(1));
		}

		@Test
		void statementsAgeAndExpire() {
			told("a", 1, 500, 100, 0);
			assertThat(weight(20 * SECOND)).isIn(about(100 / Math.E));
			assertThat(speed(20 * SECOND)).isIn(about(0.5));
			SpeedTableTests.this.table.ownNews(100 * SECOND);
			assertThat(weight(100 * SECOND)).isEqualTo(0.0);
		}

		@Test
		void ownObservationsCountBesideThoseOfOthers() {
			SpeedTableTests.this.table.observe(ENDPOINT, Math.log(2), 0);
			told("a", 1, 500, 1, 0);
			assertThat(speed(0)).isIn(about(1));
		}

		@Test
		void forgottenEndpointHasNoStatements() {
			SpeedTableTests.this.table.observe(ENDPOINT, Math.log(2), 0);
			told("a", 1, 500, 1, 0);
			SpeedTableTests.this.table.forget(ENDPOINT);
			assertThat(weight(0)).isEqualTo(0.0);
			assertThat(SpeedTableTests.this.table.ownNews(0)).isEmpty();
		}

	}

	@Nested
	class Telling {

		@Test
		void onlyEndpointsWithNewsAreTold() {
			SpeedTableTests.this.table.observe(ENDPOINT, Math.log(0.5), 0);
			told("a", 1, 2_000, 900, 0);
			assertThat(SpeedTableTests.this.table.ownNews(0)).containsExactly(new SpeedStatement(ENDPOINT, 500, 1));
			assertThat(SpeedTableTests.this.table.ownNews(0)).containsExactly(new SpeedStatement(ENDPOINT, 500, 1));
			assertThat(SpeedTableTests.this.table.ownNews(0)).isEmpty();
		}

		@Test
		void whatDoesNotFitIsToldNext() {
			IntStream.range(0, 100).forEach((id) -> SpeedTableTests.this.table.observe(id, 0, 0));
			List<Integer> first = ids(SpeedTableTests.this.table.ownNews(0));
			List<Integer> second = ids(SpeedTableTests.this.table.ownNews(0));
			assertThat(first).hasSize(60);
			assertThat(second).containsAtLeastElementsIn(IntStream.range(60, 100).boxed().toList());
		}

		private List<Integer> ids(List<SpeedStatement> statements) {
			return statements.stream().map(SpeedStatement::endpoint).toList();
		}

		@Test
		void weightIsBounded() {
			IntStream.range(0, 3_000).forEach((i) -> SpeedTableTests.this.table.observe(ENDPOINT, 0, 0));
			assertThat(SpeedTableTests.this.table.ownNews(0).get(0).weight()).isEqualTo(1_000);
			assertThat(Try.of(() -> new SpeedStatement(ENDPOINT, 1_000, 1_001)).isFailure()).isTrue();
			assertThat(Try.of(() -> new SpeedStatement(ENDPOINT, 0, 1)).isFailure()).isTrue();
		}

	}

	@Nested
	class Relayed {

		/* A summary must not pass on what other relays have told their peers. */
		@Test
		void relayTellsTheOthersOfItsGroupOnly() {
			SpeedTableTests.this.table.receive("member", 1, true, List.of(new SpeedStatement(ENDPOINT, 500, 10)), 0);
			told("relay", 1, 2_000, 10, 0);
			SpeedTableTests.this.table.observe(ENDPOINT, Math.log(0.5), 0);
			assertThat(SpeedTableTests.this.table.groupNews(0)).containsExactly(new SpeedStatement(ENDPOINT, 500, 11));
			assertThat(SpeedTableTests.this.table.allNews(0).get(0).weight()).isEqualTo(21);
		}

		/* The view of a relay has the observations of this VM in it. */
		@Test
		void viewCountsInPlaceOfOwnObservations() {
			SpeedTableTests.this.table.observe(ENDPOINT, Math.log(2), 0);
			SpeedTableTests.this.table.receiveView(7, List.of(new SpeedStatement(ENDPOINT, 500, 40)), 0);
			assertThat(weight(0)).isIn(about(40));
			assertThat(speed(0)).isIn(about(0.5));
			SpeedTableTests.this.table.dropView();
			assertThat(speed(0)).isIn(about(2));
		}

	}

}
