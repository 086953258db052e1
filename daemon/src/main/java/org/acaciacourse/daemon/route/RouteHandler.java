package org.acaciacourse.daemon.route;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;

import org.acaciacourse.core.balance.RoutingMechanism;
import org.acaciacourse.core.code.RefusalLogAggregator;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.code.RunState;
import org.acaciacourse.core.route.KeyOwner;
import org.acaciacourse.core.route.RequestRanks;
import org.acaciacourse.core.route.Route;
import org.acaciacourse.core.route.RouteTable;
import org.acaciacourse.daemon.http.CallerRequest;
import org.acaciacourse.daemon.http.CallerResponse;
import org.acaciacourse.daemon.http.HeaderText;
import org.acaciacourse.daemon.http.Refusal;
import org.acaciacourse.daemon.http.RequestHandler;
import org.acaciacourse.daemon.telemetry.DecisionLog;
import org.acaciacourse.daemon.telemetry.LogEvent;

/**
 * Finds the route and the customer of each request and starts its exchange, or refuses
 * it. No refused request reaches an endpoint. Invariant: the number of the table in force
 * only increases.
 * <p>
 * Not thread safe: belongs to the event loop.
 */
final class RouteHandler implements RequestHandler {

	/**
	 * Delay after which refused callers should retry. If a held request is refused
	 * because no configuration arrived, control is lost: electing a leader takes one to
	 * two seconds.
	 */
	private static final Duration RETRY_AFTER = Duration.ofMillis(1_200);

	/**
	 * About the usual number of requests per second on an entry VM; the remaining
	 * refusals of a burst are summarized.
	 */
	private static final int MAX_REFUSAL_LINES_PER_SECOND = 10;

	private final RefusalLogAggregator refusalLog = new RefusalLogAggregator(MAX_REFUSAL_LINES_PER_SECOND);

	private final RouteContext context;

	private final HeldRequests heldRequests;

	private final ResumedStreams resumedStreams;

	private Optional<RouteTable> table = Optional.empty();

	RouteHandler(RouteContext context) {
		this.context = context;
		this.heldRequests = new HeldRequests(context.loop());
		this.resumedStreams = new ResumedStreams(context.loop(), context.origins(), context.pools());
	}

	/**
	 * Apply a table, unless it is older than the one in force.
	 * @param next the table
	 */
	void table(RouteTable next) {
		if (this.table.isEmpty() || next.number() > this.table.get().number()) {
			this.table = Optional.of(next);
			this.context.pools().table(next);
			this.heldRequests.release((held) -> handle(held.request(), held.response(), held.arrivedAt()));
		}
	}

	/**
	 * Take up the streams that waited for the list of endpoints.
	 */
	void listConfirmed() {
		this.resumedStreams.listConfirmed();
	}

	// Whether any request waits for the list of endpoints.
	boolean isWaitingForList() {
		return this.resumedStreams.isWaiting();
	}

	@Override
	public void handle(CallerRequest request, CallerResponse response) {
		handle(request, response, System.nanoTime());
	}

	private void handle(CallerRequest request, CallerResponse response, long arrivedAt) {
		RequestDialect.RequestMetadata metadata = this.context.dialect().readRequest(request.headers());
		if (this.table.isEmpty()) {
			long callerTimeoutMillis = metadata.callerTimeoutMillis().orElse(Long.MAX_VALUE);
			Runnable refusal = () -> refuse(request, response, ResultCode.NOT_READY, metadata);
			boolean holdsRequests = this.context.pools().policy().isOn(RoutingMechanism.HELD_REQUESTS);
			if (!holdsRequests || !this.heldRequests.hold(request, response, callerTimeoutMillis, refusal)) {
				refusal.run();
			}
			return;
		}
		String host = request.headers().get("host", "");
		if (host.isEmpty() || metadata.id().isEmpty()) {
			refuse(request, response, ResultCode.MALFORMED_REQUEST, metadata);
			return;
		}
		// What is not UTF-8 in the path may follow a prefix that is.
		String path = HeaderText.decode(request.path()).orElse(request.path());
		Optional<Route> route = this.table.get().match(HeaderText.decode(host).orElse(host), path);
		if (route.isEmpty()) {
			refuse(request, response, ResultCode.UNKNOWN_PATH, metadata);
			return;
		}
		Optional<KeyOwner> owner = metadata.key().flatMap(this.table.get()::owner);
		if (owner.isEmpty() && !route.get().anonymous() && this.table.get().requiresCustomerKey()) {
			refuse(request, response, ResultCode.UNKNOWN_CUSTOMER, metadata);
			return;
		}
		if (owner.filter((one) -> !HeaderText.isSendable(one.customer())).isPresent()) {
			refuse(request, response, ResultCode.CUSTOMER_NOT_SENDABLE, metadata);
			return;
		}
		RoutedRequest routed = RoutedRequest.of(request, this.context.dialect(), metadata, route.get(), owner,
				ranks(route.get(), owner));
		if (routed.isResumption()) {
			this.resumedStreams.bind(routed, response, arrivedAt, (bound) -> begin(bound, response, arrivedAt),
					(code) -> refuse(request, response, code, metadata));
		}
		else {
			begin(routed, response, arrivedAt);
		}
	}

	private RequestRanks ranks(Route route, Optional<KeyOwner> owner) {
		RouteTable activeTable = this.table.get();
		if (!this.context.pools().policy().isOn(RoutingMechanism.RANKS_OF_ROUTES)) {
			return new RequestRanks(RouteTable.priority(route, owner), OptionalInt.empty());
		}
		return (this.context.pools().shares().isOn()) ? activeTable.ranksWithShares(route, owner)
				: new RequestRanks(activeTable.urgency(route, owner), activeTable.deferredUrgency(route, owner));
	}

	private void begin(RoutedRequest request, CallerResponse response, long arrivedAt) {
		new RoutedExchange(this.context, request, response, arrivedAt).start();
	}

	private void refuse(CallerRequest request, CallerResponse response, ResultCode code,
			RequestDialect.RequestMetadata metadata) {
		this.context.metrics().requestRefused(code);
		if (this.refusalLog.shouldLog(code, metadata.id(), System.nanoTime())) {
			DecisionLog.write(LogEvent.REQUEST_REFUSED, metadata.id(), code.number(), request.headers().get("host"),
					request.path(), this.context.pools().tableNumber(),
					(code.isRetryable()) ? RETRY_AFTER.toMillis() : null);
		}
		RefusalWriter.write(this.context.dialect(), response,
				Refusal.of(code, RunState.NOT_RUN, Optional.of(RETRY_AFTER)));
	}

	// Logs the summaries of refusals that were not logged individually; called once a
	// second.
	void logRefusalSummaries() {
		this.refusalLog.drainSummaries(System.nanoTime())
			.forEach((summary) -> DecisionLog.write(LogEvent.REFUSALS_MERGED, summary.code().number(), summary.count(),
					summary.requestIds()));
	}

	@Override
	public void refused(ResultCode code) {
		this.context.metrics().requestRefused(code);
	}

}
