package org.acaciacourse.daemon.entry;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.opentelemetry.api.trace.Span;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.model.Customer;
import org.acaciacourse.core.model.Manifest;
import org.acaciacourse.core.model.RequestClass;
import org.acaciacourse.daemon.http.CallerRequest;
import org.acaciacourse.daemon.http.CallerResponse;
import org.acaciacourse.daemon.http.Refusal;
import org.acaciacourse.daemon.http.RequestHandler;
import org.acaciacourse.daemon.telemetry.EntryMetrics;
import org.apache.logging.log4j.CloseableThreadContext;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Handles the requests that the HTTP server receives: checks each against the
 * configuration and starts it, or refuses it at once.
 * <p>
 * Thread safe.
 */
final class EntryRequestHandler implements RequestHandler {

	private static final Logger logger = LogManager.getLogger("org.acaciacourse.requests");

	private final EntryContext context;

	private final String idPrefix = Long.toHexString(ThreadLocalRandom.current().nextLong() | Long.MIN_VALUE);

	private final AtomicLong ids = new AtomicLong();

	private volatile Configuration configuration;

	private volatile boolean upToDate;

	EntryRequestHandler(EntryContext context) {
		this.context = context;
	}

	/**
	 * Set the configuration for all requests that arrive from now on.
	 * @param next the configuration
	 */
	void configure(Configuration next) {
		this.configuration = next;
	}

	/** Start to accept requests, as the configuration is known to be the latest one. */
	void upToDate() {
		this.upToDate = true;
	}

	@Override
	public void refused(ResultCode code) {
		this.context.metrics().requestRefused(code, "");
	}

	@Override
	public void handle(CallerRequest request, CallerResponse response) {
		long id = this.ids.incrementAndGet();
		String requestId = this.idPrefix + "-" + Long.toHexString(id);
		Configuration current = this.configuration;
		if (current == null || !this.upToDate) {
			refuse(ResultCode.NOT_READY, requestId, response);
			return;
		}
		RequestPlanner.customer(request, current)
			.peekLeft((code) -> refuse(code, requestId, response))
			.peek((customer) -> handle(request, response, customer, new Identity(id, requestId), current));
	}

	private void handle(CallerRequest request, CallerResponse response, Customer customer, Identity identity,
			Configuration current) {
		if (request.path().equals(RequestPlanner.MODELS_PATH) && request.method().equals("GET")) {
			response.send(200, Map.of("content-type", "application/json", "x-request-id", identity.requestId),
					modelList(customer, current.manifest()));
			return;
		}
		RequestPlanner.plan(request, customer, current)
			.peekLeft((code) -> refuse(code, identity.requestId, response))
			.peek((plan) -> start(request, response, plan, identity, current));
	}

	private void start(CallerRequest request, CallerResponse response, RequestPlan plan, Identity identity,
			Configuration current) {
		String requestClass = plan.requestClass().name();
		String policy = current.manifest().policySelection().choose(plan.content().hash() ^ identity.id);
		EntryMetrics.RequestMeter meter = this.context.metrics().requestArrived(requestClass, policy, current.epoch());
		Span span = this.context.traces().startServerSpan("caller", request.header("traceparent").orElse(""));
		RequestTelemetry telemetry = new RequestTelemetry(identity.requestId, plan, meter, this.context.traces(), span);
		ActiveRequest activeRequest = new ActiveRequest(identity.id, plan, this.context, response, telemetry);
		if (this.context.activeRequests().add(activeRequest)) {
			activeRequest.start();
		}
		else {
			telemetry.failed(ResultCode.QUEUE_FULL);
			response.refuse(Refusal.notRun(ResultCode.QUEUE_FULL), identity.requestId);
		}
	}

	private void refuse(ResultCode code, String requestId, CallerResponse response) {
		refused(code);
		try (CloseableThreadContext.Instance fields = CloseableThreadContext.put("request", requestId)
			.put("code", Integer.toString(code.number()))) {
			logger.info("request refused on arrival");
		}
		response.refuse(Refusal.notRun(code), requestId);
	}

	private static byte[] modelList(Customer customer, Manifest manifest) {
		TreeSet<String> names = new TreeSet<>();
		customer.classes()
			.stream()
			.map(manifest.classes()::get)
			.map(RequestClass::endpointSets)
			.forEach((sets) -> sets.forEach((set) -> names.addAll(manifest.endpointSets().get(set).models())));
		ObjectNode response = JsonNodeFactory.instance.objectNode().put("object", "list");
		ArrayNode data = response.putArray("data");
		names
			.forEach((name) -> data.addObject().put("id", name).put("object", "model").put("owned_by", "acaciacourse"));
		return response.toString().getBytes(StandardCharsets.UTF_8);
	}

	private record Identity(long id, String requestId) {
	}

}
