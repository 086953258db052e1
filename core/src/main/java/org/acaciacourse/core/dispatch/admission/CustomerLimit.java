package org.acaciacourse.core.dispatch.admission;

import org.acaciacourse.core.model.Customer;

/**
 * This VM's part of the limits of one customer: the number of requests in flight and the
 * request rate, enforced by a token bucket that holds the tokens of one second.
 * <p>
 * Invariant: the number in flight never goes below 0.
 * <p>
 * Not thread safe: owned by one dispatcher.
 */
public final class CustomerLimit {

	private static final double NANOS_PER_SECOND = 1e9;

	private double ratePerNano;

	private double capacity;

	private int maxInFlight;

	private double tokens = -1;

	private long refilledAt;

	private int inFlight;

	/**
	 * Apply new limits.
	 * @param customer the customer with its limits for the whole system
	 * @param entryCount the number of VMs that share the limits
	 */
	public void configure(Customer customer, int entryCount) {
		double rate = customer.requestsPerSecond() / entryCount;
		this.ratePerNano = rate / NANOS_PER_SECOND;
		this.capacity = Math.max(1, Math.ceil(rate));
		this.maxInFlight = Math.max(1, (customer.maxInFlight() + entryCount - 1) / entryCount);
		this.tokens = (this.tokens < 0) ? this.capacity : Math.min(this.tokens, this.capacity);
	}

	/**
	 * Count a new request if the limits permit it.
	 * @param now the time
	 * @return whether the request is within the limits
	 */
	public boolean tryAcquire(long now) {
		refill(now);
		if (this.tokens < 1 || this.inFlight >= this.maxInFlight) {
			return false;
		}
		this.tokens--;
		this.inFlight++;
		return true;
	}

	/**
	 * Release the place of a request in flight.
	 */
	public void release() {
		this.inFlight = Math.max(0, this.inFlight - 1);
	}

	/**
	 * Return the time until the rate permits another request.
	 * @return the time in nanoseconds
	 */
	public long nanosToNext() {
		return (long) (Math.max(0, 1 - this.tokens) / this.ratePerNano);
	}

	private void refill(long now) {
		double earned = (now - this.refilledAt) * this.ratePerNano;
		this.tokens = Math.min(this.capacity, this.tokens + Math.max(0, earned));
		this.refilledAt = now;
	}

}
