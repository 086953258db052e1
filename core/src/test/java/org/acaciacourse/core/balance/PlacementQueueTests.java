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

}
