package org.acaciacourse.core.dispatch;

/**
 * Shares the free slots of an endpoint among the entry VMs that see the same report,
 * without a word between them. VMs that know their place take turns by the sequence of
 * the report, so that exactly the free slots are given out; without a place each draws
 * its expected part by lot, which gives out as many only on average.
 * <p>
 * Not thread safe: owned by one dispatcher.
 */
final class FreeSlotAllocator {

	private static final long ROTATION_STEP = 7_919;

	private final DispatchState state;

	FreeSlotAllocator(DispatchState state) {
		this.state = state;
	}

	// Return this VM's part of the free slots that a report tells of.
	int allocate(int freeSlots, String endpoint, long sequence) {
		if (freeSlots <= 0) {
			return 0;
		}
		int count = this.state.entryCount;
		if (this.state.entryIndex < 0) {
			return (int) (freeSlots / (double) count + this.state.random.nextDouble());
		}
		long turn = Math.floorMod(this.state.entryIndex + sequence * ROTATION_STEP + endpoint.hashCode(), (long) count);
		return freeSlots / count + ((turn < freeSlots % count) ? 1 : 0);
	}

}
