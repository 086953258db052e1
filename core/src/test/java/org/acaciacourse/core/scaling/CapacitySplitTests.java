package org.acaciacourse.core.scaling;

import java.time.Duration;
import java.util.Collections;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import com.google.common.collect.Range;
import org.acaciacourse.core.route.PoolScaling;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class CapacitySplitTests {

	private static PoolScaling scaling(int min, int max, Map<String, Double> prices) {
		return new PoolScaling(min, max, Duration.ofSeconds(4), 0.18, prices);
	}

	private static int total(Map<String, Integer> split) {
		return split.values().stream().mapToInt(Integer::intValue).sum();
	}

	// Guards against a data centre whose loss leaves less than the need.
	@Test
	void anyLossLeavesTheNeedWhereTheBoundsPermitIt() {
		Random random = new Random(7);
		for (int i = 0; i < 500; i++) {
			PoolScaling scaling = scaling(random.nextInt(3), 66,
					Map.of("a", 0.5 + random.nextDouble(), "b", 0.5 + random.nextDouble()));
			int need = random.nextInt(132);
			Map<String, Integer> split = CapacitySplit.of(need, 1.34, scaling, Set.of("a", "b", "c"));
			assertThat(total(split) - Collections.max(split.values())).isAtLeast(need);
			assertThat(total(split)).isAtLeast((int) Math.ceil(need * 1.34));
			split.values().forEach((count) -> assertThat(count).isIn(Range.closed(0, 66)));
		}
	}

	// Guards against a split that prefers a data centre that costs more.
	@Test
	void cheaperDataCentresComeFirst() {
		PoolScaling scaling = scaling(1, 66, Map.of("b", 0.8, "c", 3.0));
		assertThat(CapacitySplit.of(40, 1.34, scaling, Set.of("a", "b", "c")))
			.isEqualTo(Map.of("a", 39, "b", 39, "c", 1));
		PoolScaling four = scaling(1, 66, Map.of("b", 0.8, "c", 1.25));
		Map<String, Integer> split = CapacitySplit.of(90, 1.6, four, Set.of("a", "b", "c", "d"));
		assertThat(split.get("b")).isAtLeast(split.get("a"));
		assertThat(split.get("a")).isAtLeast(split.get("c"));
	}

	@Test
	void neverMoreThanTheBounds() {
		PoolScaling scaling = scaling(1, 66, Map.of());
		assertThat(CapacitySplit.of(5_000, 1.34, scaling, Set.of("a", "b", "c")))
			.isEqualTo(Map.of("a", 66, "b", 66, "c", 66));
		assertThat(CapacitySplit.of(0, 1.34, scaling, Set.of("a", "b"))).isEqualTo(Map.of("a", 1, "b", 1));
		assertThat(CapacitySplit.of(10, 1.34, scaling, Set.of("a"))).isEqualTo(Map.of("a", 14));
	}

	// Guards against others that are ordered as if nothing served where no more is to be
	// had.
	@Test
	void othersSupplyWhatOneDoesNot() {
		PoolScaling scaling = scaling(1, 66, Map.of());
		Set<String> all = Set.of("a", "b", "c");
		assertThat(CapacitySplit.of(60, 1.34, scaling, all, Map.of())).isEqualTo(Map.of("a", 30, "b", 30, "c", 30));
		assertThat(CapacitySplit.of(60, 1.34, scaling, all, Map.of("a", 0)))
			.isEqualTo(Map.of("a", 30, "b", 41, "c", 40));
		assertThat(CapacitySplit.of(60, 1.34, scaling, all, Map.of("a", 30)))
			.isEqualTo(Map.of("a", 30, "b", 30, "c", 30));
	}

}
