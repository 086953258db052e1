package org.acaciacourse.core.share;

import java.nio.charset.StandardCharsets;

import net.openhft.hashing.LongHashFunction;

/**
 * Hashes of a pool and a customer in digests. The upper bits tell the pool, so that a VM
 * knows the work of a pool's customers whose names it has never met. Two customers with
 * the same hash have one share together.
 * <p>
 * Thread safe: stateless.
 */
public final class CustomerKey {

	/** With 1,700 customers, one pair in ten fleets has the same hash. */
	private static final int CUSTOMER_BITS = 24;

	private static final int CUSTOMER_MASK = (1 << CUSTOMER_BITS) - 1;

	/** Stands for the work that a pool has finished, for whichever customer. */
	private static final int FINISHED = 0;

	private static final LongHashFunction HASH = LongHashFunction.xx3();

	private CustomerKey() {
	}

	/**
	 * Return the key of a customer in a pool.
	 * @param pool the name of the pool
	 * @param customer the name of the customer, empty for anonymous requests
	 * @return the key
	 */
	public static int of(String pool, String customer) {
		int hash = hash(customer) & CUSTOMER_MASK;
		return poolBits(pool) | ((hash != FINISHED) ? hash : 1);
	}

	/**
	 * Return the key of the work that a pool has finished.
	 * @param pool the name of the pool
	 * @return the key
	 */
	static int finished(String pool) {
		return poolBits(pool) | FINISHED;
	}

	// Whether a key is that of a customer in the pool of another key.
	static boolean isCustomerOf(int finished, int key) {
		return (key & ~CUSTOMER_MASK) == finished && !isFinished(key);
	}

	static boolean isFinished(int key) {
		return (key & CUSTOMER_MASK) == FINISHED;
	}

	private static int poolBits(String pool) {
		return hash(pool) & ~CUSTOMER_MASK;
	}

	private static int hash(String name) {
		return (int) HASH.hashBytes(name.getBytes(StandardCharsets.UTF_8));
	}

}
