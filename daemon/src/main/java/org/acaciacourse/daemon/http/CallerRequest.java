package org.acaciacourse.daemon.http;

import java.util.Objects;
import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A completely received request of a caller.
 * <p>
 * Not thread safe: belongs to the event loop of its connection. The body is not copied.
 *
 * @param method the HTTP method
 * @param target the request target: path and query, unmodified
 * @param path the path without the query
 * @param query the query without the question mark, may be empty
 * @param headers the headers
 * @param body the complete body
 */
public record CallerRequest(String method, String target, String path, String query, HttpHeaders headers, byte[] body) {

	public CallerRequest {
		Objects.requireNonNull(method, "method");
		Objects.requireNonNull(target, "target");
		Objects.requireNonNull(path, "path");
		Objects.requireNonNull(headers, "headers");
		Objects.requireNonNull(body, "body");
	}

	/**
	 * Return the value of a header if it is present and not blank.
	 * @param name the name
	 * @return the first value, stripped
	 */
	public Optional<String> header(String name) {
		return Optional.ofNullable(this.headers.get(name)).map(String::strip).filter((value) -> !value.isEmpty());
	}

}
