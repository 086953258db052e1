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
 * Checks a request against the configuration and makes a plan of it, or gives the code of
 * its refusal.
 * <p>
 * Thread safe: it has no state.
 */
final class RequestPlanner {

	static final String CHAT_PATH = "/v1/chat/completions";

	static final String MODELS_PATH = "/v1/models";

	private static final String SERVICES_PREFIX = "/services/";

	private static final String KEY_FORM = "[\\x21-\\x7e]{1,200}";

	private static final Set<String> KEPT_BACK = Set.of("authorization", "host", "content-length", "connection",
			"transfer-encoding", "te", "trailer", "upgrade", "keep-alive", "proxy-authorization", "proxy-connection",
			"expect", "accept-encoding", "x-request-class", "x-deadline-ms", "x-not-repeated", "x-request-id",
			"x-priority", "x-prefix", "x-resume-of", "x-resume-from", "traceparent", "cookie", "http2-settings");

	private RequestPlanner() {
	}

	/**
	 * Find the customer of a request.
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
	 * Make the plan of a request.
	 * @param request the request
	 * @param customer who sent it
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
		RequestPlan.Call call = new RequestPlan.Call("POST", CHAT_PATH, Map.of("content-type", "application/json"),
				request.body(), chat.stream());
		return finish(request, customer, requestClass, set.get(), call, false,
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
		RequestPlan.Call call = new RequestPlan.Call(request.method(), target, passedOn(request), request.body(),
				false);
		return finish(request, customer, requestClass, set, call, service.isNotRepeated(request.method(), path),
				new RequestPlan.Content(0, "", 0, 0, 0));
	}

	/*
	 * A path in another spelling would miss the prefixes that mark calls as not to be
	 * repeated, while the service still takes it for the same call. Only one spelling of
	 * each path is let through, so that the marks can't be passed by.
	 */
	private static boolean isCanonical(String path) {
		return path.matches("(/[A-Za-z0-9._~!$&'()*+,;=:@-]*)+") && !path.contains("//")
				&& !(path + "/").matches(".*/\\.\\.?/.*");
	}

	private static Map<String, String> passedOn(CallerRequest request) {
		Map<String, String> headers = new TreeMap<>();
		for (Map.Entry<String, String> header : request.headers()) {
			String name = header.getKey().toLowerCase(Locale.ROOT);
			if (!KEPT_BACK.contains(name) && !name.startsWith("x-http2-")) {
				headers.put(name, header.getValue());
			}
		}
		return headers;
	}

	private static Either<ResultCode, RequestPlan> finish(CallerRequest request, Customer customer,
			RequestClass requestClass, EndpointSet set, RequestPlan.Call call, boolean markedByManifest,
			RequestPlan.Content known) {
		Optional<Duration> deadline = deadline(request, requestClass);
		if (deadline.isEmpty()) {
			return Either.left(ResultCode.MALFORMED_REQUEST);
		}
		Optional<String> key = request.header("idempotency-key");
		boolean marked = markedByManifest
				|| request.header("x-not-repeated").filter((value) -> !value.equals("false")).isPresent();
		if (marked && key.isEmpty()) {
			return Either.left(ResultCode.IDEMPOTENCY_KEY_REQUIRED);
		}
		if (key.isPresent() && !key.get().matches(KEY_FORM)) {
			return Either.left(ResultCode.MALFORMED_REQUEST);
		}
		RequestPlan.Call sent = key.map((value) -> withKey(call, value)).orElse(call);
		String digest = (marked) ? digest(call) : "";
		RequestPlan.Content content = new RequestPlan.Content(hash(customer, call), digest, known.prefixHash(),
				known.promptTokens(), known.maxTokens());
		Optional<ClaimKey> claim = key.filter((value) -> marked).map((value) -> new ClaimKey(customer.name(), value));
		return Either.right(new RequestPlan(customer, requestClass, set, sent, content, claim, deadline.get()));
	}

	private static RequestPlan.Call withKey(RequestPlan.Call call, String key) {
		Map<String, String> headers = new TreeMap<>(call.headers());
		headers.put("idempotency-key", key);
		return new RequestPlan.Call(call.method(), call.target(), headers, call.body(), call.stream());
	}

	private static Optional<Duration> deadline(CallerRequest request, RequestClass requestClass) {
		Optional<String> asked = request.header("x-deadline-ms");
		if (asked.isEmpty()) {
			return Optional.of(requestClass.deadline());
		}
		if (!asked.get().matches("[1-9][0-9]{0,11}")) {
			return Optional.empty();
		}
		Duration bound = Duration.ofMillis(Long.parseLong(asked.get()));
		return Optional.of((bound.compareTo(requestClass.deadline()) < 0) ? bound : requestClass.deadline());
	}

	private static long hash(Customer customer, RequestPlan.Call call) {
		long seed = LongHashFunction.xx3().hashChars(customer.name() + ' ' + call.method() + ' ' + call.target());
		return LongHashFunction.xx3(seed).hashBytes(call.body());
	}

	private static String digest(RequestPlan.Call call) {
		MessageDigest sha = Configuration.sha256();
		sha.update((call.method() + ' ' + call.target() + '\n').getBytes(StandardCharsets.UTF_8));
		return HexFormat.of().formatHex(sha.digest(call.body()));
	}

}
