package org.acaciacourse.core.share;

import java.util.List;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class FairShareTests {

	private static List<FairShare.Demand> demands(double... works) {
		return IntStream.range(0, works.length).mapToObj((i) -> new FairShare.Demand(works[i], 1)).toList();
	}

	@Test
	void whatSomeDoNotNeedIsDividedAmongTheOthers() {
		assertThat(FairShare.level(demands(1, 10, 10, 2), 13)).isWithin(1e-9).of(5);
	}

	// Guards against limiting a single customer while there is capacity.
	@Test
	void nobodyIsLimitedWhileAllDemandsFit() {
		assertThat(FairShare.level(demands(1, 10), 11)).isPositiveInfinity();
		assertThat(FairShare.level(List.of(), 0)).isPositiveInfinity();
	}

	@Test
	void sharesAreInProportionToTheWeights() {
		double level = FairShare.level(List.of(new FairShare.Demand(30, 2), new FairShare.Demand(30, 1)), 30);
		assertThat(level).isWithin(1e-9).of(10);
	}

	@Property
	void whatIsGrantedAddsUpToTheCapacity(@ForAll @Size(min = 1, max = 30) List<@DoubleRange(max = 1e6) Double> works,
			@ForAll @DoubleRange(max = 1e7) double capacity) {
		double level = FairShare.level(works.stream().map((work) -> new FairShare.Demand(work, 1)).toList(), capacity);
		double granted = works.stream().mapToDouble((work) -> Math.min(work, level)).sum();
		double demand = works.stream().mapToDouble((work) -> work).sum();
		assertThat(granted).isWithin(1e-3).of(Math.min(capacity, demand));
	}

}
