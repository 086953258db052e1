package org.acaciacourse.core.dispatch.queue;

import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link FairQueue}.
 */
class FairQueueTests {

	private final FairQueue<String> queue = new FairQueue<>();

	private String serve(double charge) {
		String item = this.queue.oldest().get();
		this.queue.serve(item.substring(0, 1), item, charge);
		return item;
	}

	@Test
	void alternatesFlowsRegardlessOfTheirLoad() {
		for (int i = 0; i < 100; i++) {
			this.queue.add("a", "a" + i);
		}
		this.queue.add("b", "b0");
		this.queue.add("b", "b1");
		assertThat(List.of(serve(1), serve(1), serve(1), serve(1))).containsExactly("a0", "b0", "a1", "b1");
	}

	@Test
	void idleFlowAccumulatesNoCredit() {
		this.queue.add("a", "a0");
		serve(50);
		this.queue.add("b", "b0");
		this.queue.add("b", "b1");
		this.queue.add("a", "a1");
		assertThat(serve(1)).isEqualTo("b0");
		assertThat(this.queue.size()).isEqualTo(2);
	}

	@Property(tries = 50, seed = "41")
	void servesInProportionToWeight(@ForAll @IntRange(min = 1, max = 8) int weight) {
		FairQueue<String> fair = new FairQueue<>();
		for (int i = 0; i < 1_000; i++) {
			fair.add("a", "a" + i);
			fair.add("b", "b" + i);
		}
		int servedOfA = 0;
		for (int i = 0; i < 900; i++) {
			String item = fair.oldest().get();
			boolean isFlowA = item.startsWith("a");
			servedOfA += (isFlowA) ? 1 : 0;
			fair.serve(item.substring(0, 1), item, (isFlowA) ? 1.0 / weight : 1);
		}
		assertThat((double) servedOfA).isWithin(2).of(900.0 * weight / (weight + 1));
	}

}
