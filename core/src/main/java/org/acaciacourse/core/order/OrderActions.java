package org.acaciacourse.core.order;

/**
 * What the writer of orders wants done. Implementations are called on the writer's thread
 * and must not call back into it.
 */
public interface OrderActions {

	/**
	 * Read an engine's state; {@link OrderWriter#stateRead} or {@link OrderWriter#failed}
	 * follows.
	 * @param endpoint the name of the endpoint
	 */
	void readState(String endpoint);

	/**
	 * Send an order. The lease is checked once more right before the bytes leave, and the
	 * order is given up after {@link OrderTiming#orderTimeoutNanos()};
	 * {@link OrderWriter#done}, {@link OrderWriter#fenced} or {@link OrderWriter#failed}
	 * follows.
	 * @param order the order
	 */
	void send(EngineOrder order);

	/**
	 * An engine has seen a higher number: another writer is in charge.
	 * @param endpoint the name of the endpoint
	 * @param fencingNumber the number that it has seen, 0 if it did not say
	 */
	void outdated(String endpoint, long fencingNumber);

}
