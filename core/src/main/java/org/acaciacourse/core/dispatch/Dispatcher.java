package org.acaciacourse.core.dispatch;

import org.acaciacourse.core.model.Manifest;

/**
 * The scheduling decisions of one entry VM: admission, ordering, endpoint selection,
 * preemption, retry, hedging and refusal. Events and the current time are passed in as
 * calls, actions are returned through {@link DispatchActions}. The dispatcher itself does
 * no I/O and uses no thread or clock, so that the daemon and the benchmarks run the same
 * code. Times are nanoseconds of one monotonic clock and never decrease.
 * <p>
 * Not thread safe: all methods are called by one thread, and actions are called on that
 * thread before the event method returns.
 */
public interface Dispatcher {

	/**
	 * Apply a manifest. New decisions use it immediately; running requests continue.
	 * @param manifest the manifest
	 * @param now the time
	 */
	void configure(Manifest manifest, long now);

	/**
	 * Set the number of entry VMs that share the traffic and the customer limits. Does
	 * nothing for a dispatcher that enforces no limits.
	 * @param count the number of VMs, including this one
	 * @param now the time
	 */
	default void entryCount(int count, long now) {
	}

	/**
	 * Handle a status change of an endpoint reported by membership.
	 * @param endpoint the name of the endpoint
	 * @param status the new status
	 * @param now the time
	 */
	void endpointStatus(String endpoint, EndpointStatus status, long now);

	/**
	 * Handle a load report of an endpoint.
	 * @param endpoint the name of the endpoint
	 * @param report the report
	 * @param now the time
	 */
	void loadReport(String endpoint, LoadReport report, long now);

	/**
	 * Handle the report that an endpoint has cached or evicted a prompt prefix. This is
	 * only a hint: such events are delayed and may be missing.
	 * @param endpoint the name of the endpoint
	 * @param prefixHash the hash of the prefix
	 * @param held whether the endpoint has the prefix in its cache
	 * @param now the time
	 */
	void prefixEvent(String endpoint, long prefixHash, boolean held, long now);

	/**
	 * Handle a new request. It ends with exactly one {@link DispatchActions#finish} or
	 * one {@link AttemptOutcome#COMPLETE}.
	 * @param request the properties of the request
	 * @param now the time
	 */
	void requestArrived(RequestInfo request, long now);

	/**
	 * Handle the disconnect of a caller; the attempts of its request are cancelled.
	 * @param requestId the id of the request
	 * @param now the time
	 */
	void callerGone(long requestId, long now);

	/**
	 * Handle received response tokens; the first call for an attempt marks its first
	 * token.
	 * @param attemptId the id of the attempt
	 * @param count the number of tokens received
	 * @param now the time
	 */
	void tokensReceived(long attemptId, int count, long now);

	/**
	 * Handle the end of an attempt.
	 * @param attemptId the id of the attempt
	 * @param outcome the outcome
	 * @param now the time
	 */
	void attemptEnded(long attemptId, AttemptOutcome outcome, long now);

	/**
	 * Handle a report about content that was running on a crashed endpoint.
	 * @param contentHash the hash of the customer and the content
	 * @param crashes the number of crashes attributed to the content; 0 clears a
	 * suspicion
	 * @param now the time
	 */
	void suspectReported(long contentHash, int crashes, long now);

	/**
	 * Start to shut down: new requests are refused, open requests are completed.
	 * @param now the time
	 */
	void drain(long now);

	/**
	 * Handle everything that is due: deadlines, retries with backoff, probes and ageing.
	 * Called no later than the time passed to {@link DispatchActions#wakeAt}.
	 * @param now the time
	 */
	void tick(long now);

}
