package org.acaciacourse.core.dispatch;

import java.util.Objects;

/**
 * The properties of a request that are known on arrival. The length of its response is
 * not.
 * <p>
 * Immutable and thread safe.
 *
 * @param id the id of the request, unique on this VM
 * @param customer the name of the customer
 * @param requestClass the name of the class
 * @param endpointSet the endpoint set that may serve it: the preferred set of the class
 * that offers the model, or the set of the service
 * @param contentHash a hash of the customer and the content, the same on every VM
 * @param prefixHash a hash of the start of the prompt, 0 if it is not worth caching
 * @param promptTokens the estimated number of prompt tokens, 0 for a plain service
 * @param maxTokens the maximum number of response tokens set by the caller, 0 if not set
 * @param notRepeated whether the request must run at most once
 * @param deadlineNanos the time from which the response is of no use, on the dispatcher's
 * clock
 */
public record RequestInfo(long id, String customer, String requestClass, String endpointSet, long contentHash,
		long prefixHash, int promptTokens, int maxTokens, boolean notRepeated, long deadlineNanos) {

	public RequestInfo {
		Objects.requireNonNull(customer, "customer");
		Objects.requireNonNull(requestClass, "requestClass");
		Objects.requireNonNull(endpointSet, "endpointSet");
	}

}
