package org.acaciacourse.core.dispatch;

import java.util.ArrayList;
import java.util.List;

import org.acaciacourse.core.dispatch.admission.CustomerLimit;
import org.acaciacourse.core.model.LatencyTarget;
import org.acaciacourse.core.model.RequestClass;

/**
 * A request between its arrival and its final answer.
 * <p>
 * Invariants: at most one run is current; {@link #state} is {@link State#DONE} from the
 * final answer on and never changes again, which keeps the answer single.
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

	/** When this request has to be looked at again: it is late or out of time. */
	long dueAt;

	/** A retry waits until then. */
	long notBefore;

	/** Whether it is to run apart from others because it may crash the endpoint. */
	boolean isolated;

	/** How many attempts failed; one that was set aside did not. */
	int failureCount;

	/** How many endpoints crashed while they ran it. */
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

	// Whether the request may still be refused because its target is out of reach.
	boolean isUndispatched() {
		return this.attemptCount == 0;
	}

	// Whether only some endpoints will do, so that it must not block the others.
	boolean isConstrained() {
		return this.isolated || !this.triedEndpoints.isEmpty() || this.notBefore > 0;
	}

	/** Where a request is on its way. */
	enum State {

		/** In a waiting line. */
		WAITING,

		/** At an endpoint. */
		RUNNING,

		/** Answered. */
		DONE

	}

}
