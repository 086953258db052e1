package org.acaciacourse.core.balance;

/**
 * What the retries of one request hold of a {@link RetryAllowance}: a reservation while
 * the request waits to be sent again, and each retry that was sent until it arrives.
 * <p>
 * The first arrival of a request is not a retry, whichever attempt it belongs to: an
 * endpoint that stalls may read the first attempt after another endpoint has read the
 * second one.
 * <p>
 * Invariants: at most one retry is reserved. Each attempt that was sent is confirmed
 * once, so that all retries that the allowance counts as in transit arrive in the end.
 * <p>
 * Not thread safe: belongs to the event loop of the request.
 */
public final class RequestRetries {

	private final RetryAllowance allowance;

	private boolean reserved;

	private boolean firstArrived;

	/**
	 * Create the retries of a request.
	 * @param allowance the allowance that permits them
	 */
	public RequestRetries(RetryAllowance allowance) {
		this.allowance = allowance;
	}

	/**
	 * Reserve a retry, unless one is reserved already.
	 * @param now the time
	 * @return whether one is reserved now
	 */
	public boolean reserve(long now) {
		this.reserved = this.reserved || this.allowance.reserve(now);
		return this.reserved;
	}

	/**
	 * Send the reserved retry.
	 * @param now the time
	 * @return whether the allowance still permits it; if not, the reservation is released
	 */
	public boolean send(long now) {
		this.reserved = false;
		return this.allowance.send(now);
	}

	/** Release the reservation, if there is one. */
	public void release() {
		if (this.reserved) {
			this.reserved = false;
			this.allowance.release();
		}
	}

	/**
	 * Record that an attempt has reached its endpoint, or never will.
	 * @param now the time
	 */
	public void confirmArrival(long now) {
		if (this.firstArrived) {
			this.allowance.arrived(now);
		}
		this.firstArrived = true;
	}

}
