package org.acaciacourse.core.memory;

/**
 * The memory that an entry VM may spend on what it holds for callers and endpoints.
 * <p>
 * Invariant: the bytes of no use are negative. The limit itself is kept by those who draw
 * on the budget.
 * <p>
 * Not thread safe: belongs to the event loop.
 */
public final class MemoryBudget {

	/** The platform states the memory of a VM in these units. */
	private static final long MEGABYTE = 1024 * 1024;

	/** The part of the VM's memory that the budget may take. */
	private static final int VM_DIVISOR = 8;

	/**
	 * The part of the process's memory that the budget may take. While large responses
	 * are copied and parsed, their bytes exist two or three times.
	 */
	private static final int PROCESS_DIVISOR = 4;

	private final long limit;

	private final long[] used = new long[MemoryUse.values().length];

	private long total;

	/**
	 * Create a budget of which nothing is used.
	 * @param limit its bytes
	 */
	public MemoryBudget(long limit) {
		if (limit <= 0) {
			throw new IllegalArgumentException("limit must be positive, is " + limit);
		}
		this.limit = limit;
	}

	/**
	 * Return the bytes of the budget of a VM.
	 * @param megabytes the memory of the VM in units of 1,048,576 bytes
	 * @param heap the most that the heap of the process may take, in bytes
	 * @param direct the most that its direct memory may take, in bytes
	 * @return the bytes, at least one
	 */
	public static long limit(double megabytes, long heap, long direct) {
		long ofVm = (long) (megabytes * MEGABYTE / VM_DIVISOR);
		long ofProcess = heap / PROCESS_DIVISOR + direct / PROCESS_DIVISOR;
		return Math.max(1, Math.min(ofVm, ofProcess));
	}

	/**
	 * Record that a use takes more or fewer bytes.
	 * @param use the use
	 * @param bytes the difference
	 */
	public void change(MemoryUse use, long bytes) {
		if (this.used[use.ordinal()] + bytes < 0) {
			throw new IllegalStateException(use + " releases " + -bytes + " of " + this.used[use.ordinal()] + " bytes");
		}
		this.used[use.ordinal()] += bytes;
		this.total += bytes;
	}

	/**
	 * Return the bytes that a use may still take.
	 * @param use the use
	 * @return the bytes, negative if its share is exceeded
	 */
	public long room(MemoryUse use) {
		return use.bound(this.limit) - this.total;
	}

	/**
	 * Return the bytes that a use takes.
	 * @param use the use
	 * @return the bytes
	 */
	public long used(MemoryUse use) {
		return this.used[use.ordinal()];
	}

	/**
	 * Return the bytes that all uses take.
	 * @return the bytes
	 */
	public long used() {
		return this.total;
	}

	/**
	 * Return the bytes of the budget.
	 * @return the bytes
	 */
	public long limit() {
		return this.limit;
	}

}
