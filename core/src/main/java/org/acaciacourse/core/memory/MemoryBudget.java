package org.acaciacourse.core.memory;

/**
 * The memory that a VM may spend on what it holds for callers and endpoints.
 * <p>
 * Invariant: the bytes of no use are negative. The limit itself is kept by those who draw
 * on the budget.
 * <p>
 * Thread safe. Between a look at the room and the change that follows another thread may
 * take it, so that several threads can exceed the limit by what each takes at once.
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
		return Math.min(Math.max(1, ofVm), limitOfProcess(heap, direct));
	}

	/**
	 * Return the bytes of the budget of a process on a VM whose memory is not known.
	 * @param heap the most that the heap of the process may take, in bytes
	 * @param direct the most that its direct memory may take, in bytes
	 * @return the bytes, at least one
	 */
	public static long limitOfProcess(long heap, long direct) {
		return Math.max(1, heap / PROCESS_DIVISOR + direct / PROCESS_DIVISOR);
	}

	/**
	 * Record that a use takes more or fewer bytes.
	 * @param use the use
	 * @param bytes the difference
	 */
	public synchronized void change(MemoryUse use, long bytes) {
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
	public synchronized long room(MemoryUse use) {
		long shared = use.bound(this.limit) - this.total;
		long own = use.reserve(this.limit) - used(use);
		return (use.reserve(this.limit) > 0) ? Math.max(shared, own) : shared;
	}

	/**
	 * Return the bytes that a use takes.
	 * @param use the use
	 * @return the bytes
	 */
	public synchronized long used(MemoryUse use) {
		return this.used[use.ordinal()];
	}

	/**
	 * Return the bytes that all uses take.
	 * @return the bytes
	 */
	public synchronized long used() {
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
