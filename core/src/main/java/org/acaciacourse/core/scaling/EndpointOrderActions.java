package org.acaciacourse.core.scaling;

/**
 * The actions that an {@link EndpointOrders} requests. They are called on its thread and
 * must not call it before they return. Each one but {@link #release} is followed by the
 * call that is named, and by {@link EndpointOrders#stepFailed} if it fails.
 */
public interface EndpointOrderActions {

	/**
	 * Read the provisions, then call {@link EndpointOrders#stateRead}.
	 */
	void readState();

	/**
	 * Record a provision in the replicated state, then call
	 * {@link EndpointOrders#provisionRecorded}.
	 * @param pool the name of the pool
	 * @param provision the provision
	 */
	void record(String pool, PoolProvision provision);

	/**
	 * Send an order to the platform, then call {@link EndpointOrders#answered}. The lease
	 * must be checked again right before the call is written.
	 * @param order the order
	 * @param fencingNumber the fencing number to send
	 */
	void send(EndpointOrder order, long fencingNumber);

	/**
	 * Release the lease, so that a VM asks for it anew and with a higher fencing number.
	 * @param fencingNumber the fencing number that is not used any more
	 * @param abstainNanos for how long this VM leaves it to the others
	 */
	void release(long fencingNumber, long abstainNanos);

}
