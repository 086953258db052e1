package org.acaciacourse.core.dispatch;

/**
 * Divides the free slots of an endpoint among the entry VMs that see the same load
 * report, without communication between them. VMs that know their index rotate by the
 * sequence number of the report, so that exactly the free slots are allocated. Without an
 * index each VM rounds its expected part randomly up or down, which is right only on
 * average.
 * <p>
 * Not thread safe: owned by one dispatcher.
 */
final class FreeSlotAllocator {

	private static final long ROTATION_STEP = 7_919;

	private final DispatchState state;

	FreeSlotAllocator(DispatchState state) {
		this.state = state;
	}

	// Returns this VM's part of the free slots given by a report.
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
