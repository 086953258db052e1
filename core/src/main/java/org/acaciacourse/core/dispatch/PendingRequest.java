package org.acaciacourse.core.dispatch;

import java.util.ArrayList;
import java.util.List;

import org.acaciacourse.core.dispatch.admission.CustomerLimit;
import org.acaciacourse.core.model.LatencyTarget;
import org.acaciacourse.core.model.RequestClass;

/**
 * A request between its arrival and its final response.
 * <p>
 * Invariants: at most one attempt is current; {@link #state} becomes {@link State#DONE}
 * with the final response and never changes again, so that there is only one final
 * response.
 * <p>
 * Not thread safe: owned by one dispatcher.
 */
final class PendingRequest {

	final RequestInfo info;

	final RequestClass requestClass;

	final EndpointSetState endpointSet;

	final CustomerLimit limit;

	final int weight;

	final String flow;

	final long arrivedAt;

	final long targetAt;

	final long deadlineAt;

	final List<EndpointView> triedEndpoints = new ArrayList<>(0);

	State state = State.WAITING;

	PolicyQueue queue;

	ActiveAttempt attempt;

	int attemptCount;

	int deliveredTokens;

	/** When this request must be checked again for its target or deadline. */
	long dueAt;

	/** The earliest time of the next attempt, 0 if there is no such limit. */
	long notBefore;

	/** Whether it must run without other requests because it may crash the endpoint. */
	boolean isolated;

	/** The number of failed attempts; preempted ones do not count. */
	int failureCount;

	/** The number of endpoints that crashed while running this request. */
	int crashCount;

	PendingRequest(RequestInfo info, RequestClass requestClass, EndpointSetState endpointSet, CustomerLimit limit,
			int weight, long now) {
		this.info = info;
		this.requestClass = requestClass;
		this.endpointSet = endpointSet;
		this.limit = limit;
		this.weight = weight;
		this.arrivedAt = now;
		this.flow = info.requestClass() + '/' + info.customer();
		this.targetAt = now + requestClass.target().limit().toNanos();
		this.deadlineAt = Math.min(info.deadlineNanos(), now + requestClass.deadline().toNanos());
	}

	boolean isFirstTokenTarget() {
		return this.requestClass.target().kind() == LatencyTarget.Kind.FIRST_TOKEN;
	}

	boolean isDone() {
		return this.state == State.DONE;
	}

	// Returns whether there was no attempt yet, so that the request may still be refused
	// because its target is unreachable.
	boolean isUndispatched() {
		return this.attemptCount == 0;
	}

	// Returns whether only some endpoints or times are permitted, so that this request
	// must not block the others.
	boolean isConstrained() {
		return this.isolated || !this.triedEndpoints.isEmpty() || this.notBefore > 0;
	}

	/** The state of a request. */
	enum State {

		/** In a queue. */
		WAITING,

		/** At an endpoint. */
		RUNNING,

		/** Has its final response. */
		DONE

	}

}
