package org.acaciacourse.core.stream;

import java.nio.charset.StandardCharsets;
import java.util.Objects;

import net.openhft.hashing.LongHashFunction;

/**
 * Names a stream: its caller's customer and the request that brought the first event. Two
 * customers may use the same request id.
 * <p>
 * Immutable and thread safe.
 *
 * @param customer the customer, empty without one
 * @param request the id of the request, or a hash of a long one
 */
public record StreamKey(String customer, String request) {

	/** Bounds the memory and the datagrams that hold ids of callers. */
	private static final int MAX_REQUEST_ID_LENGTH = 64;

	public StreamKey {
		Objects.requireNonNull(customer, "customer");
		if (request.length() > MAX_REQUEST_ID_LENGTH) {
			request = "xx3 " + Long.toHexString(hash(request));
		}
	}

	// The same at all entry VMs, for each VM another one.
	long hashWith(String vm) {
		return hash(String.join("\n", vm, this.customer, this.request));
	}

	private static long hash(String text) {
		return LongHashFunction.xx3().hashBytes(text.getBytes(StandardCharsets.UTF_8));
	}

}
