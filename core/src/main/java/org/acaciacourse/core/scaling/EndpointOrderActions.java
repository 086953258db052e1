package org.acaciacourse.core.scaling;

import java.util.Map;

/**
 * The actions that an {@link EndpointOrders} requests. They are called on its thread and
 * must not call it before they return. Each one but {@link #release} and {@link #planned}
 * is followed by the call that is named, and by {@link EndpointOrders#stepFailed} if it
 * fails.
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
	 * The planned orders of a pool have changed. They are sent one after the other.
	 * @param pool the name of the pool
	 * @param plan the number of endpoints by data centre
	 * @param need the highest number of endpoints that the demand needed within half a
	 * minute
	 * @param complete whether the demand of all entry VMs is known
	 */
	default void planned(String pool, Map<String, Integer> plan, double need, boolean complete) {
	}

	/**
	 * Release the lease, so that a VM asks for it anew and with a higher fencing number.
	 * @param fencingNumber the fencing number that is not used any more
	 * @param abstainNanos for how long this VM leaves it to the others
	 */
	void release(long fencingNumber, long abstainNanos);

}
