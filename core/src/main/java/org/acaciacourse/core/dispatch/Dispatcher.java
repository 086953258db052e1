package org.acaciacourse.core.dispatch;

import org.acaciacourse.core.model.Manifest;

/**
 * The decisions of one entry VM: admission, order, choice of endpoint, preemption, retry,
 * hedge and refusal. Events and the time come in as calls, actions go out through
 * {@link DispatchActions}; there is no I/O, thread or clock inside, so that a daemon and
 * a bench drive the same code. Times are nanoseconds on one monotonic clock and never go
 * back.
 * <p>
 * Not thread safe: one thread calls it, and actions are called on that thread before the
 * event returns.
 */
public interface Dispatcher {

	/**
	 * Take a manifest into force. New decisions follow it at once; running requests go
	 * on.
	 * @param manifest the manifest
	 * @param now the time
	 */
	void configure(Manifest manifest, long now);

	/**
	 * Take note of how many entry VMs share the traffic and the limits of customers. Does
	 * nothing for a dispatcher that keeps no limits.
	 * @param count the number of VMs, this one included
	 * @param now the time
	 */
	default void entryCount(int count, long now) {
	}

	/**
	 * Take note of what membership says of an endpoint.
	 * @param endpoint the name of the endpoint
	 * @param status its status
	 * @param now the time
	 */
	void endpointStatus(String endpoint, EndpointStatus status, long now);

	/**
	 * Take note of a load report.
	 * @param endpoint the name of the endpoint
	 * @param report the report
	 * @param now the time
	 */
	void loadReport(String endpoint, LoadReport report, long now);

	/**
	 * Take note that an endpoint holds a prompt prefix in its cache, or dropped it. A
	 * hint only: such events are late and have gaps.
	 * @param endpoint the name of the endpoint
	 * @param prefixHash the hash of the prefix
	 * @param held whether the endpoint holds it
	 * @param now the time
	 */
	void prefixEvent(String endpoint, long prefixHash, boolean held, long now);

	/**
	 * Take a new request. Exactly one {@link DispatchActions#finish} or one
	 * {@link AttemptOutcome#COMPLETE} ends it.
	 * @param request what is known of the request
	 * @param now the time
	 */
	void arrive(RequestInfo request, long now);

	/**
	 * The caller of a request went away; its attempts are cancelled.
	 * @param requestId the request
	 * @param now the time
	 */
	void callerGone(long requestId, long now);

	/**
	 * Tokens of an attempt arrived; the first call tells of the first token.
	 * @param attemptId the attempt
	 * @param count how many tokens
	 * @param now the time
	 */
	void tokens(long attemptId, int count, long now);

	/**
	 * An attempt ended.
	 * @param attemptId the attempt
	 * @param outcome how it ended
	 * @param now the time
	 */
	void ended(long attemptId, AttemptOutcome outcome, long now);

	/**
	 * Another VM tells of content that was running on an endpoint that crashed.
	 * @param contentHash the hash of the customer and the content
	 * @param crashes how many crashes it is proven to have caused; 0 clears a suspicion
	 * @param now the time
	 */
	void suspect(long contentHash, int crashes, long now);

	/**
	 * The VM stops: new requests are refused, the others are finished.
	 * @param now the time
	 */
	void drain(long now);

	/**
	 * Let time pass: deadlines, retries with backoff, probes and aging are handled.
	 * Called at the latest when {@link DispatchActions#wakeAt} said.
	 * @param now the time
	 */
	void tick(long now);

}
