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
 * A checked request: who sent it, which class and endpoints serve it, and what is to be
 * sent to the endpoint.
 * <p>
 * Immutable and thread safe, as long as nobody writes to the body.
 *
 * @param customer the customer
 * @param requestClass the class
 * @param endpointSet the endpoint set that serves it
 * @param outboundRequest what is to be sent to the endpoint
 * @param content what is known of the content
 * @param claim the key of its claim, if it runs at most once
 * @param deadline how long the answer is of use
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
	 * What is to be sent to the endpoint.
	 *
	 * @param method the HTTP method
	 * @param target path and query
	 * @param headers the headers to pass on
	 * @param body the body
	 * @param stream whether the caller wants a stream of events
	 */
	record OutboundRequest(String method, String target, Map<String, String> headers, byte[] body, boolean stream) {
	}

	/**
	 * What is known of the content.
	 *
	 * @param hash a hash of the customer and the content, the same on every VM
	 * @param digest a digest of method, path and body for the claim, empty without one
	 * @param prefixHash a hash of the start of the prompt, 0 if it is too short
	 * @param promptTokens an estimate of the tokens of the prompt
	 * @param maxTokens the most tokens asked for, 0 if no bound was given
	 */
	record Content(long hash, String digest, long prefixHash, int promptTokens, int maxTokens) {
	}

}
