package org.acaciacourse.core.balance;

/**
 * Tells a retry allowance when the attempts of one request reach their endpoints. The
 * first arrival is not a retry, whichever attempt it belongs to: an endpoint that stalls
 * may read the first attempt after another endpoint has read the second one.
 * <p>
 * Invariant: each attempt that was sent is confirmed once, so that all retries that the
 * allowance counts as in transit arrive in the end.
 * <p>
 * Not thread safe: belongs to the event loop of the request.
 */
public final class RequestArrivals {

	private final RetryAllowance allowance;

	private boolean firstArrived;

	/**
	 * Create the arrivals of a request.
	 * @param allowance the allowance that permits the retries of the request
	 */
	public RequestArrivals(RetryAllowance allowance) {
		this.allowance = allowance;
	}

	/**
	 * Record that an attempt has reached its endpoint, or never will.
	 * @param now the time
	 */
	public void confirm(long now) {
		if (this.firstArrived) {
			this.allowance.arrived(now);
		}
		this.firstArrived = true;
	}

}
