package org.acaciacourse.daemon.http;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.code.RunState;

/**
 * An error response for callers: a JSON object with the result code and whether the
 * request was run.
 * <p>
 * Immutable and thread safe.
 *
 * @param code the reason
 * @param run whether an endpoint ran the request
 * @param retryAfter the delay after which the caller may retry
 */
public record Refusal(ResultCode code, RunState run, Optional<Duration> retryAfter) {

	private static final Duration DEFAULT_RETRY = Duration.ofSeconds(1);

	/**
	 * Create a refusal of a request that was not sent to any endpoint.
	 * @param code the reason
	 * @return the refusal
	 */
	public static Refusal notRun(ResultCode code) {
		return of(code, RunState.NOT_RUN, Optional.empty());
	}

	/**
	 * Create a refusal. A retryable code without a given delay gets the default of 1 s; a
	 * code that is not retryable gets none.
	 * @param code the reason
	 * @param run whether an endpoint ran the request
	 * @param retryAfter the delay after which the caller may retry, if known
	 * @return the refusal
	 */
	public static Refusal of(ResultCode code, RunState run, Optional<Duration> retryAfter) {
		Optional<Duration> time = (code.isRetryable()) ? Optional.of(retryAfter.orElse(DEFAULT_RETRY))
				: Optional.empty();
		return new Refusal(code, run, time);
	}

	/**
	 * Return the refusal as a JSON object.
	 * @return the text
	 */
	public String json() {
		StringBuilder text = new StringBuilder(160);
		text.append("{\"error\":{\"code\":").append(this.code.number());
		text.append(",\"message\":\"").append(this.code.text());
		text.append("\",\"run\":\"").append(this.run.label()).append('"');
		this.retryAfter.ifPresent((time) -> text.append(",\"retry_after_ms\":").append(time.toMillis()));
		return text.append("}}").toString();
	}

	/**
	 * Return the refusal as an encoded JSON object.
	 * @return the bytes in UTF-8
	 */
	public byte[] bytes() {
		return json().getBytes(StandardCharsets.UTF_8);
	}

	/**
	 * Return the headers of the refusal.
	 * @return its content type, and when to retry if that makes sense
	 */
	public Map<String, String> headers() {
		Map<String, String> headers = new HashMap<>(Map.of("content-type", "application/json"));
		retryAfterSeconds().ifPresent((seconds) -> headers.put("retry-after", seconds));
		return headers;
	}

	Optional<String> retryAfterSeconds() {
		return this.retryAfter.map((time) -> Long.toString(Math.max(1, (time.toMillis() + 999) / 1000)));
	}

}
