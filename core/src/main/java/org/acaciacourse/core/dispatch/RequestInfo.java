package org.acaciacourse.core.dispatch;

import java.util.Objects;

/**
 * What is known of a request on arrival. The length of its answer is not.
 * <p>
 * Immutable and thread safe.
 *
 * @param id the number of the request, unique on this VM
 * @param customer the name of the customer
 * @param requestClass the name of the class
 * @param endpointSet the endpoint set that may serve it: the preferred set of the class
 * that offers the model, or the set of the service
 * @param contentHash a hash of the content, the same on every VM
 * @param prefixHash a hash of the start of the prompt, 0 if it has none worth caching
 * @param promptTokens an estimate of the tokens of the prompt, 0 for a plain service
 * @param maxTokens the most tokens that the caller asked for, 0 if it gave no bound
 * @param notRepeated whether the request runs at most once
 * @param deadlineNanos when the answer is of no more use, on the clock of the events
 */
public record RequestInfo(long id, String customer, String requestClass, String endpointSet, long contentHash,
		long prefixHash, int promptTokens, int maxTokens, boolean notRepeated, long deadlineNanos) {

	public RequestInfo {
		Objects.requireNonNull(customer, "customer");
		Objects.requireNonNull(requestClass, "requestClass");
		Objects.requireNonNull(endpointSet, "endpointSet");
	}

}
