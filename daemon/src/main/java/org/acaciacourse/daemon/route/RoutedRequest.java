package org.acaciacourse.daemon.route;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import net.openhft.hashing.LongHashFunction;
import org.acaciacourse.core.balance.PromptShape;
import org.acaciacourse.core.route.KeyOwner;
import org.acaciacourse.core.route.RequestKind;
import org.acaciacourse.core.route.RequestRanks;
import org.acaciacourse.core.route.Route;
import org.acaciacourse.core.stream.StreamKey;
import org.acaciacourse.core.stream.StreamOrigin;
import org.acaciacourse.daemon.http.CallerRequest;

/**
 * A caller's request with its route.
 * <p>
 * Not thread safe: belongs to the event loop.
 *
 * @param method the HTTP method
 * @param requestTarget the path with the query, byte for byte
 * @param headers the headers that are forwarded
 * @param body the body
 * @param hasBody whether the caller sent a body, even an empty one
 * @param metadata the metadata in the caller's headers
 * @param route the route
 * @param owner the customer, if there is a key
 * @param urgency the rank of the request, 0 is the highest
 * @param deferredUrgency its rank if it would be late in any case, if it can be deferred
 * @param overShareUrgency its rank if it is over its customer's share, if there is one
 * @param idHash a hash of the request's id
 * @param origin where its stream began, if the caller takes one up
 */
record RoutedRequest(String method, String requestTarget, HttpHeaders headers, byte[] body, boolean hasBody,
		RequestDialect.RequestMetadata metadata, Route route, Optional<KeyOwner> owner, int urgency,
		OptionalInt deferredUrgency, OptionalInt overShareUrgency, long idHash, Optional<StreamOrigin> origin) {

	private static final LongHashFunction HASH = LongHashFunction.xx3();

	static RoutedRequest of(CallerRequest request, RequestDialect dialect, RequestDialect.RequestMetadata metadata,
			Route route, Optional<KeyOwner> owner, RequestRanks ranks) {
		HttpHeaders headers = HopByHopHeaders.endToEnd(request.headers());
		boolean hasBody = request.headers().contains("content-length")
				|| request.headers().contains("transfer-encoding");
		dialect.removeReservedHeaders(headers);
		long hash = HASH.hashBytes(metadata.id().getBytes(StandardCharsets.UTF_8));
		return new RoutedRequest(request.method(), request.target(), headers, request.body(), hasBody, metadata, route,
				owner, ranks.regular(), ranks.deferred(), ranks.overShare(), hash, Optional.empty());
	}

	/**
	 * Return the pool that serves the request.
	 * @return the name
	 */
	String pool() {
		return this.origin.map(StreamOrigin::pool).orElseGet(() -> this.route.pool(this.idHash));
	}

	/**
	 * Return how long the request may take.
	 * @return the time that the route permits and its caller waits, in milliseconds
	 */
	long timeoutMillis() {
		long millis = this.route.timeout().toMillis();
		return Math.min(millis, this.metadata.callerTimeoutMillis().orElse(millis));
	}

	/**
	 * Return whether the caller takes up a stream of which it has a part.
	 * @return whether only endpoints that can go on with the stream may get the request
	 */
	boolean isResumption() {
		return this.route.kind() == RequestKind.STREAM
				&& (this.metadata.lastEventId().isPresent() || this.metadata.resumedRequest().isPresent());
	}

	/**
	 * Return the same request for the endpoints that can go on with its stream.
	 * @param where where the stream began
	 * @return the request
	 */
	RoutedRequest resumedAt(StreamOrigin where) {
		return new RoutedRequest(this.method, this.requestTarget, this.headers, this.body, this.hasBody, this.metadata,
				this.route, this.owner, this.urgency, this.deferredUrgency, this.overShareUrgency, this.idHash,
				Optional.of(where));
	}

	/**
	 * Name a stream of the caller.
	 * @param requestId the id of the request that brought its first event
	 * @return the name
	 */
	StreamKey streamKey(String requestId) {
		return new StreamKey(customer().orElse(""), requestId);
	}

	/**
	 * Return the request that an endpoint receives.
	 * @param dialect writes the system's headers
	 * @param forwarded what they tell the endpoint
	 * @return the request
	 */
	FullHttpRequest httpRequest(RequestDialect dialect, RequestDialect.ForwardMetadata forwarded) {
		FullHttpRequest httpRequest = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(this.method),
				this.requestTarget, Unpooled.wrappedBuffer(this.body));
		HttpHeaders endpointHeaders = httpRequest.headers();
		endpointHeaders.add(this.headers);
		if (this.body.length > 0 || this.hasBody) {
			endpointHeaders.set(HttpHeaderNames.CONTENT_LENGTH, this.body.length);
		}
		dialect.writeRequest(forwarded, endpointHeaders);
		return httpRequest;
	}

	/**
	 * Return a hash of what identifies the same request when it is sent again: the
	 * customer, the host, the method, the path and the body. Its id is another one then.
	 * @return the hash
	 */
	long contentHash() {
		String line = String.join(" ", customer().orElse(""), this.headers.get("host", ""), this.method,
				this.requestTarget);
		return LongHashFunction.xx3(HASH.hashChars(line)).hashBytes(this.body);
	}

	/**
	 * Return the parts of the prompt that other requests may have, too.
	 * @return their ids, each once, in the order of the prompt
	 */
	List<Long> sharedPartIds() {
		return this.metadata.prompt().sharedParts().stream().map(PromptShape.Part::id).distinct().toList();
	}

	Optional<String> customer() {
		return this.owner.map(KeyOwner::customer);
	}

}
