package org.acaciacourse.core.memory;

import io.vavr.control.Try;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class MemoryBudgetTests {

	private static final long MEGABYTE = 1024 * 1024;

	private final MemoryBudget budget = new MemoryBudget(1_000);

	// Guards against request bodies that are refused as responses, which could wait at
	// their endpoints, took everything.
	@Test
	void usesThatCanWaitLeaveRoomForTheOthers() {
		this.budget.change(MemoryUse.UNREAD_RESPONSES, 750);
		assertThat(this.budget.room(MemoryUse.UNREAD_RESPONSES)).isEqualTo(0);
		assertThat(this.budget.room(MemoryUse.BUFFERED_RESPONSES)).isEqualTo(150);
		assertThat(this.budget.room(MemoryUse.REQUESTS)).isEqualTo(250);
	}

	// Guards against requests that are refused as responses exceed their share for a
	// moment.
	@Test
	void requestsHaveAPartToThemselves() {
		this.budget.change(MemoryUse.UNREAD_RESPONSES, 1_100);
		this.budget.change(MemoryUse.REQUESTS, 100);
		assertThat(this.budget.room(MemoryUse.REQUESTS)).isEqualTo(150);
		assertThat(this.budget.room(MemoryUse.BUFFERED_RESPONSES)).isEqualTo(-300);
	}

	// Guards against one use that does not see what the others take.
	@Test
	void allUsesShareOneBudget() {
		this.budget.change(MemoryUse.REQUESTS, 400);
		this.budget.change(MemoryUse.UNREAD_RESPONSES, 500);
		assertThat(this.budget.room(MemoryUse.UNREAD_RESPONSES)).isEqualTo(-150);
		this.budget.change(MemoryUse.UNREAD_RESPONSES, -500);
		assertThat(this.budget.room(MemoryUse.UNREAD_RESPONSES)).isEqualTo(350);
		assertThat(this.budget.used(MemoryUse.REQUESTS)).isEqualTo(400);
		assertThat(this.budget.used()).isEqualTo(400);
	}

	// Guards against a second release that would let the others take more than there is.
	@Test
	void moreThanIsTakenCannotBeReleased() {
		this.budget.change(MemoryUse.UNREAD_RESPONSES, 10);
		Try<Void> release = Try.run(() -> this.budget.change(MemoryUse.UNREAD_RESPONSES, -11));
		assertThat(release.getCause()).isInstanceOf(IllegalStateException.class);
		assertThat(this.budget.used()).isEqualTo(10);
	}

	// Guards against a budget that the heap of the process does not have.
	@Test
	void limitIsWithinTheVmAndTheProcess() {
		assertThat(MemoryBudget.limit(330, 72 * MEGABYTE, 24 * MEGABYTE)).isEqualTo(24 * MEGABYTE);
		assertThat(MemoryBudget.limit(160, 72 * MEGABYTE, 24 * MEGABYTE)).isEqualTo(20 * MEGABYTE);
		assertThat(MemoryBudget.limit(0, MEGABYTE, MEGABYTE)).isEqualTo(1);
	}

}
