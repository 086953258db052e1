package org.acaciacourse.core.order;

/**
 * The actions that an {@link OrderWriter} requests. They are called on the writer's
 * thread and must not call the writer before they return.
 */
public interface OrderActions {

	/**
	 * Read the state of an engine, then call {@link OrderWriter#stateRead} or
	 * {@link OrderWriter#requestFailed}.
	 * @param endpoint the name of the endpoint
	 */
	void readState(String endpoint);

	/**
	 * Send an order, then call {@link OrderWriter#orderCompleted},
	 * {@link OrderWriter#orderRefused} or {@link OrderWriter#requestFailed}.
	 * Implementations must check the lease again right before the order is written and
	 * abort it after {@link OrderTiming#orderTimeoutNanos()}.
	 * @param order the order
	 */
	void send(EngineOrder order);

	/**
	 * Handle an engine that has seen a higher fencing number, which means that another
	 * writer holds the lease.
	 * @param endpoint the name of the endpoint
	 * @param fencingNumber the number that the engine has seen, 0 if it is not known
	 */
	void higherFencingNumberSeen(String endpoint, long fencingNumber);

}
