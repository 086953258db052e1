package org.acaciacourse.daemon.route;

import java.time.Duration;
import java.util.Optional;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.code.RunState;
import org.acaciacourse.core.route.KeyOwner;
import org.acaciacourse.core.route.Route;
import org.acaciacourse.core.route.RouteTable;
import org.acaciacourse.daemon.http.CallerRequest;
import org.acaciacourse.daemon.http.CallerResponse;
import org.acaciacourse.daemon.http.Refusal;
import org.acaciacourse.daemon.http.RequestHandler;

/**
 * Finds route and customer of each request and begins its exchange, or refuses it. None
 * of the refusals reaches an endpoint. Invariant: the number of the table in force only
 * grows.
 * <p>
 * Not thread safe: belongs to the event loop.
 */
final class RouteHandler implements RequestHandler {

	/** A configuration is there within a second of a start, unless control is lost. */
	private static final Duration COME_BACK = Duration.ofMillis(500);

	private final RouteContext context;

	private Optional<RouteTable> table = Optional.empty();

	RouteHandler(RouteContext context) {
		this.context = context;
	}

	/**
	 * Take a table into force.
	 * @param next the table
	 */
	void table(RouteTable next) {
		if (this.table.isEmpty() || next.number() > this.table.get().number()) {
			this.table = Optional.of(next);
			this.context.pools().table(next);
		}
	}

	@Override
	public void handle(CallerRequest request, CallerResponse response) {
		RequestDialect.RequestFacts facts = this.context.dialect().request(request.headers());
		if (this.table.isEmpty()) {
			refuse(response, ResultCode.NOT_READY, facts);
			return;
		}
		String host = request.headers().get("host", "");
		if (host.isEmpty() || facts.id().isEmpty()) {
			refuse(response, ResultCode.MALFORMED_REQUEST, facts);
			return;
		}
		Optional<Route> route = this.table.get().match(host, request.path());
		if (route.isEmpty()) {
			refuse(response, ResultCode.UNKNOWN_PATH, facts);
			return;
		}
		Optional<KeyOwner> owner = facts.key().flatMap(this.table.get()::owner);
		if (owner.isEmpty() && !route.get().anonymous() && this.table.get().isKeyed()) {
			refuse(response, ResultCode.UNKNOWN_CUSTOMER, facts);
			return;
		}
		RoutedRequest routed = RoutedRequest.of(request, this.context.dialect(), facts, route.get(), owner);
		new RoutedExchange(this.context, routed, response).start();
	}

	private void refuse(CallerResponse response, ResultCode code, RequestDialect.RequestFacts facts) {
		this.context.metrics().refused(code);
		RouteLog.failed(facts.id(), code, "table " + this.table.map(RouteTable::number).orElse(0L));
		RoutedExchange.refuse(this.context.dialect(), response,
				Refusal.of(code, RunState.NOT_RUN, Optional.of(COME_BACK)), facts);
	}

	@Override
	public void refused(ResultCode code) {
		this.context.metrics().refused(code);
	}

}
