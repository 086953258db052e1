package org.acaciacourse.core.balance;

import com.google.common.collect.Range;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class WeightedDrawTests {

	private static final int ENDPOINTS = 98;

	private static final int DRAWS = 20_000;

	private static double weight(int endpoint) {
		return (endpoint % 4 == 0) ? 0.5 : 1;
	}

	/* With equal chances, one pair in sixteen would have slow endpoints only. */
	@Test
	void endpointsAreDrawnInProportionToTheirWeights() {
		double total = 0;
		for (int i = 0; i < ENDPOINTS; i++) {
			total += weight(i);
		}
		int slow = 0;
		int all = 0;
		int empty = 0;
		for (int salt = 0; salt < DRAWS; salt++) {
			WeightedDraw draw = new WeightedDraw(0.01, ENDPOINTS, total, salt);
			int before = all;
			for (int i = 0; i < ENDPOINTS; i++) {
				if (draw.isNextDrawn(weight(i))) {
					all++;
					slow += (i % 4 == 0) ? 1 : 0;
				}
			}
			empty += (all == before) ? 1 : 0;
		}
		assertThat(empty).isEqualTo(0);
		assertThat((double) all / DRAWS).isIn(Range.closed(1.9, 2.0));
		assertThat((double) slow / all).isIn(Range.closed(0.135, 0.155));
	}

	@Test
	void singleEndpointIsDrawn() {
		assertThat(new WeightedDraw(0.01, 1, 0.2, 5).isNextDrawn(0.2)).isTrue();
	}

}
