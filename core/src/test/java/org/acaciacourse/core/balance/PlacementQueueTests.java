package org.acaciacourse.core.balance;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class PlacementQueueTests {

	@Test
	void urgentFirstThenTheOneThatIsDueFirst() {
		PlacementQueue<String> queue = new PlacementQueue<>();
		queue.add("late", 2, 90);
		queue.add("soon", 2, 10);
		queue.add("urgent", 0, 99);
		queue.add("same", 2, 10);
		queue.add("soon", 0, 0);
		assertThat(queue.inOrder()).containsExactly("urgent", "soon", "same", "late").inOrder();
		queue.remove("soon");
		queue.remove("nobody");
		assertThat(queue.inOrder()).containsExactly("urgent", "same", "late").inOrder();
		assertThat(queue.size()).isEqualTo(3);
	}

	// Guards against a burst of a customer over share ahead of the other customers.
	@Test
	void requestsOverShareGoBehindTheOthersOfTheirRankOnly() {
		PlacementQueue<String> queue = new PlacementQueue<>();
		queue.add("over", 1, true, 5);
		queue.add("within", 1, false, 9);
		queue.add("less urgent", 2, false, 1);
		assertThat(queue.inOrder()).containsExactly("within", "over", "less urgent").inOrder();
	}

}
