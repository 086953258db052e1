package org.acaciacourse.daemon.route;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.acaciacourse.core.admission.AdmissionDecision;
import org.acaciacourse.core.admission.AdmissionReason;
import org.acaciacourse.core.admission.Demand;
import org.acaciacourse.core.balance.PlacedRequest;
import org.acaciacourse.core.balance.Placement;
import org.acaciacourse.core.balance.PoolAdmission;
import org.acaciacourse.core.balance.RoutingMechanism;
import org.acaciacourse.core.route.FleetEndpoint;
import org.acaciacourse.core.route.RequestKind;
import org.acaciacourse.daemon.telemetry.DecisionLog;
import org.acaciacourse.daemon.telemetry.LogEvent;

/**
 * Admission of one routed request: whether it is sent while its caller still waits for
 * the answer, and what it shows of the pool once it is sent. Does nothing in pools where
 * the mechanism is not in use.
 * <p>
 * Not thread safe: belongs to the event loop.
 */
final class RequestAdmission {

	private final RouteContext context;

	private final RoutedRequest request;

	private final PoolStates.State pool;

	private final long startedAt;

	private final long deadlineAt;

	/**
	 * Create the admission of a request.
	 * @param context the objects that all requests of the VM share
	 * @param request the request
	 * @param startedAt when the request was read
	 * @param deadlineAt until when its caller waits
	 */
	RequestAdmission(RouteContext context, RoutedRequest request, long startedAt, long deadlineAt) {
		this.context = context;
		this.request = request;
		this.pool = context.pools().state(request.pool());
		this.startedAt = startedAt;
		this.deadlineAt = deadlineAt;
	}

	/**
	 * Decide about a request that no endpoint has run.
	 * @param chosen the endpoint that was chosen
	 * @param wanted what the request asks for
	 * @param now the time
	 * @return the decision, empty where the mechanism is not in use
	 */
	Optional<AdmissionDecision> decide(FleetEndpoint chosen, Placement wanted, long now) {
		Optional<AdmissionDecision> decision = inUse(now).map((one) -> one.decide(chosen, wanted, demand(now), now));
		decision.ifPresent((one) -> tell(one, now));
		return decision;
	}

	private Optional<PoolAdmission> inUse(long now) {
		return this.pool.balancer().admission(now);
	}

	private Demand demand(long now) {
		boolean deferrable = this.request.deferredUrgency().isPresent()
				&& this.context.pools().policy().isOn(RoutingMechanism.DEFERRAL);
		return new Demand(this.request.urgency(), this.request.route().kind() == RequestKind.STREAM, deferrable,
				this.request.metadata().prompt().outputTokens(),
				this.startedAt + this.request.route().target().toNanos() - now, this.deadlineAt - now,
				this.request.idHash());
	}

	private void tell(AdmissionDecision decision, long now) {
		AdmissionReason reason = decision.reason();
		this.context.metrics().admissionDecided(this.request.pool(), reason);
		if (reason == AdmissionReason.IN_TIME || reason == AdmissionReason.UNKNOWN) {
			return;
		}
		OptionalLong suppressed = this.context.logLimits().admission().tryAcquire(now);
		if (suppressed.isPresent()) {
			DecisionLog.write(LogEvent.ADMISSION, this.request.metadata().id(), reason.label(), this.request.pool(),
					this.request.urgency(), decision.endpoint().instance(), millis(decision.estimate()),
					millis(decision.needed()), millis(decision.remaining()),
					Math.round(decision.margin() * 100) / 100.0, decision.work(), decision.running(), decision.slots(),
					(reason.isAdmitted()) ? null : decision.retryAfter().toMillis(), suppressed.getAsLong());
		}
	}

	private static long millis(long nanos) {
		return TimeUnit.NANOSECONDS.toMillis(nanos);
	}

	/**
	 * Record that the request is sent.
	 * @param placed the request at its endpoint
	 * @param now the time
	 */
	void sent(PlacedRequest placed, long now) {
		inUse(now).ifPresent((one) -> one.sent(placed, demand(now), now));
	}

	/**
	 * Return when the caller of a request that no endpoint takes is to retry.
	 * @param wanted what the request asks for
	 * @param now the time
	 * @return the delay, empty where the mechanism is not in use
	 */
	Optional<Duration> retryDelay(Placement wanted, long now) {
		return inUse(now).map((one) -> one.retryDelay(wanted, demand(now), now));
	}

}
