package org.acaciacourse.daemon.entry;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.time.Duration;
import java.util.HexFormat;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import io.vavr.control.Either;
import net.openhft.hashing.LongHashFunction;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.model.Customer;
import org.acaciacourse.core.model.EndpointSet;
import org.acaciacourse.core.model.RequestClass;
import org.acaciacourse.core.model.Service;
import org.acaciacourse.core.state.ClaimKey;
import org.acaciacourse.daemon.http.CallerRequest;

/**
 * Validates a request against the configuration and builds its plan, or returns the code
 * of its refusal.
 * <p>
 * Thread safe, as it has no state.
 */
final class RequestPlanner {

	static final String CHAT_PATH = "/v1/chat/completions";

	static final String MODELS_PATH = "/v1/models";

	private static final String SERVICES_PREFIX = "/services/";

	private static final String IDEMPOTENCY_KEY_PATTERN = "[\\x21-\\x7e]{1,200}";

	private static final Set<String> EXCLUDED_HEADERS = Set.of("authorization", "host", "content-length", "connection",
			"transfer-encoding", "te", "trailer", "upgrade", "keep-alive", "proxy-authorization", "proxy-connection",
			"expect", "accept-encoding", "x-request-class", "x-deadline-ms", "x-not-repeated", "x-request-id",
			"x-priority", "x-prefix", "x-resume-of", "x-resume-from", "traceparent", "cookie", "http2-settings");

	private RequestPlanner() {
	}

	/**
	 * Return the customer of a request.
	 * @param request the request
	 * @param configuration the configuration
	 * @return the customer or the refusal
	 */
	static Either<ResultCode, Customer> customer(CallerRequest request, Configuration configuration) {
		return request.header("authorization")
			.filter((value) -> value.regionMatches(true, 0, "Bearer ", 0, 7))
			.flatMap((value) -> configuration.customerOfKey(value.substring(7).strip()))
			.<Either<ResultCode, Customer>>map(Either::right)
			.orElseGet(() -> Either.left(ResultCode.UNKNOWN_CUSTOMER));
	}

	/**
	 * Build the plan of a request.
	 * @param request the request
	 * @param customer the customer of the request
	 * @param configuration the configuration
	 * @return the plan or the refusal
	 */
	static Either<ResultCode, RequestPlan> plan(CallerRequest request, Customer customer, Configuration configuration) {
		if (request.path().equals(CHAT_PATH) && request.method().equals("POST")) {
			return chat(request, customer, configuration);
		}
		if (request.path().startsWith(SERVICES_PREFIX)) {
			return service(request, customer, configuration);
		}
		return Either.left(ResultCode.UNKNOWN_PATH);
	}

	private static Either<ResultCode, RequestPlan> chat(CallerRequest request, Customer customer,
			Configuration configuration) {
		Optional<ChatBody> body = ChatBody.parse(request.body());
		if (body.isEmpty()) {
			return Either.left(ResultCode.MALFORMED_REQUEST);
		}
		String className = request.header("x-request-class").orElse(customer.classes().get(0));
		RequestClass requestClass = configuration.manifest().classes().get(className);
		if (requestClass == null || !customer.classes().contains(className)) {
			return Either.left(ResultCode.UNKNOWN_CLASS);
		}
		Optional<EndpointSet> set = requestClass.endpointSets()
			.stream()
			.map(configuration.manifest().endpointSets()::get)
			.filter((s) -> s.kind() == EndpointSet.Kind.MODEL && s.models().contains(body.get().model()))
			.findFirst();
		if (set.isEmpty()) {
			return Either.left(ResultCode.UNKNOWN_MODEL);
		}
		ChatBody chat = body.get();
		RequestPlan.OutboundRequest outboundRequest = new RequestPlan.OutboundRequest("POST", CHAT_PATH,
				Map.of("content-type", "application/json"), request.body(), chat.stream());
		return complete(request, customer, requestClass, set.get(), outboundRequest, false,
				new RequestPlan.Content(0, "", chat.prefixHash(), chat.promptTokens(), chat.maxTokens()));
	}

	private static Either<ResultCode, RequestPlan> service(CallerRequest request, Customer customer,
			Configuration configuration) {
		String rest = request.path().substring(SERVICES_PREFIX.length());
		int slash = rest.indexOf('/');
		String name = (slash < 0) ? rest : rest.substring(0, slash);
		String path = (slash < 0) ? "/" : rest.substring(slash);
		Service service = configuration.manifest().services().get(name);
		if (service == null) {
			return Either.left(ResultCode.UNKNOWN_PATH);
		}
		if (!isCanonical(path)) {
			return Either.left(ResultCode.MALFORMED_REQUEST);
		}
		String className = request.header("x-request-class").orElse(service.requestClass());
		RequestClass requestClass = configuration.manifest().classes().get(className);
		if (requestClass == null || !customer.classes().contains(className)) {
			return Either.left(ResultCode.UNKNOWN_CLASS);
		}
		EndpointSet set = configuration.manifest().endpointSets().get(service.endpointSet());
		String target = (request.query().isEmpty()) ? path : path + "?" + request.query();
		RequestPlan.OutboundRequest outboundRequest = new RequestPlan.OutboundRequest(request.method(), target,
				forwardedHeaders(request), request.body(), false);
		return complete(request, customer, requestClass, set, outboundRequest,
				service.isNotRepeated(request.method(), path), new RequestPlan.Content(0, "", 0, 0, 0));
	}

	/*
	 * A path in another spelling would not match the prefixes of calls that must not be
	 * repeated, while the service would still treat it as the same call. Only the
	 * canonical spelling of each path is accepted, so that the prefixes can't be
	 * bypassed.
	 */
	private static boolean isCanonical(String path) {
		return path.matches("(/[A-Za-z0-9._~!$&'()*+,;=:@-]*)+") && !path.contains("//")
				&& !(path + "/").matches(".*/\\.\\.?/.*");
	}

	private static Map<String, String> forwardedHeaders(CallerRequest request) {
		Map<String, String> headers = new TreeMap<>();
		for (Map.Entry<String, String> header : request.headers()) {
			String name = header.getKey().toLowerCase(Locale.ROOT);
			if (!EXCLUDED_HEADERS.contains(name) && !name.startsWith("x-http2-")) {
				headers.put(name, header.getValue());
			}
		}
		return headers;
	}

	private static Either<ResultCode, RequestPlan> complete(CallerRequest request, Customer customer,
			RequestClass requestClass, EndpointSet set, RequestPlan.OutboundRequest outboundRequest,
			boolean notRepeatedByManifest, RequestPlan.Content estimates) {
		Optional<Duration> deadline = deadline(request, requestClass);
		if (deadline.isEmpty()) {
			return Either.left(ResultCode.MALFORMED_REQUEST);
		}
		Optional<String> key = request.header("idempotency-key");
		boolean notRepeated = notRepeatedByManifest
				|| request.header("x-not-repeated").filter((value) -> !value.equals("false")).isPresent();
		if (notRepeated && key.isEmpty()) {
			return Either.left(ResultCode.IDEMPOTENCY_KEY_REQUIRED);
		}
		if (key.isPresent() && !key.get().matches(IDEMPOTENCY_KEY_PATTERN)) {
			return Either.left(ResultCode.MALFORMED_REQUEST);
		}
		RequestPlan.OutboundRequest withKey = key.map((value) -> withKey(outboundRequest, value))
			.orElse(outboundRequest);
		String digest = (notRepeated) ? digest(outboundRequest) : "";
		RequestPlan.Content content = new RequestPlan.Content(hash(customer, outboundRequest), digest,
				estimates.prefixHash(), estimates.promptTokens(), estimates.maxTokens());
		Optional<ClaimKey> claim = key.filter((value) -> notRepeated)
			.map((value) -> new ClaimKey(customer.name(), value));
		return Either.right(new RequestPlan(customer, requestClass, set, withKey, content, claim, deadline.get()));
	}

	private static RequestPlan.OutboundRequest withKey(RequestPlan.OutboundRequest outboundRequest, String key) {
		Map<String, String> headers = new TreeMap<>(outboundRequest.headers());
		headers.put("idempotency-key", key);
		return new RequestPlan.OutboundRequest(outboundRequest.method(), outboundRequest.target(), headers,
				outboundRequest.body(), outboundRequest.stream());
	}

	private static Optional<Duration> deadline(CallerRequest request, RequestClass requestClass) {
		Optional<String> requested = request.header("x-deadline-ms");
		if (requested.isEmpty()) {
			return Optional.of(requestClass.deadline());
		}
		if (!requested.get().matches("[1-9][0-9]{0,11}")) {
			return Optional.empty();
		}
		Duration limit = Duration.ofMillis(Long.parseLong(requested.get()));
		return Optional.of((limit.compareTo(requestClass.deadline()) < 0) ? limit : requestClass.deadline());
	}

	private static long hash(Customer customer, RequestPlan.OutboundRequest outboundRequest) {
		long seed = LongHashFunction.xx3()
			.hashChars(customer.name() + ' ' + outboundRequest.method() + ' ' + outboundRequest.target());
		return LongHashFunction.xx3(seed).hashBytes(outboundRequest.body());
	}

	private static String digest(RequestPlan.OutboundRequest outboundRequest) {
		MessageDigest sha = Configuration.sha256();
		sha.update((outboundRequest.method() + ' ' + outboundRequest.target() + '\n').getBytes(StandardCharsets.UTF_8));
		return HexFormat.of().formatHex(sha.digest(outboundRequest.body()));
	}

}
