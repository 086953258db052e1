package org.acaciacourse.daemon.entry;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;

import org.acaciacourse.core.dispatch.RequestInfo;
import org.acaciacourse.core.model.Customer;
import org.acaciacourse.core.model.EndpointSet;
import org.acaciacourse.core.model.RequestClass;
import org.acaciacourse.core.state.ClaimKey;

/**
 * A validated request: its customer, the class and the endpoint set that serve it, and
 * the request to be sent to the endpoint.
 * <p>
 * Immutable and thread safe, provided that the body is not modified.
 *
 * @param customer the customer
 * @param requestClass the request class
 * @param endpointSet the endpoint set that serves it
 * @param outboundRequest the request to be sent to the endpoint
 * @param content hashes and token estimates of the content
 * @param claim the key of its claim, if the request runs at most once
 * @param deadline the time from arrival after which the response is of no use
 */
record RequestPlan(Customer customer, RequestClass requestClass, EndpointSet endpointSet,
		OutboundRequest outboundRequest, Content content, Optional<ClaimKey> claim, Duration deadline) {

	RequestInfo info(long id, long now) {
		return new RequestInfo(id, this.customer.name(), this.requestClass.name(), this.endpointSet.name(),
				this.content.hash(), this.content.prefixHash(), this.content.promptTokens(), this.content.maxTokens(),
				this.claim.isPresent(), now + this.deadline.toNanos());
	}

	boolean isModel() {
		return this.endpointSet.kind() == EndpointSet.Kind.MODEL;
	}

	/**
	 * The request to be sent to an endpoint.
	 *
	 * @param method the HTTP method
	 * @param target the path and query
	 * @param headers the headers to forward
	 * @param body the body
	 * @param stream whether the caller requests an event stream
	 */
	record OutboundRequest(String method, String target, Map<String, String> headers, byte[] body, boolean stream) {
	}

	/**
	 * Hashes and token estimates of the content of a request.
	 *
	 * @param hash a hash of the customer and the content, the same on every VM
	 * @param digest a digest of method, path and body for the claim, empty without one
	 * @param prefixHash a hash of the start of the prompt, 0 if it is too short
	 * @param promptTokens the estimated number of tokens of the prompt
	 * @param maxTokens the requested maximum of tokens, 0 if none was given
	 */
	record Content(long hash, String digest, long prefixHash, int promptTokens, int maxTokens) {
	}

}
