package org.acaciacourse.bench.load;

import java.util.List;

/**
 * What the load tool sends.
 * <p>
 * Immutable and thread safe.
 *
 * @param targets the addresses, such as {@code http://127.0.0.1:8080}
 * @param requestsPerSecond the rate over all targets together
 * @param streamedPercent how many of a hundred requests are streamed
 * @param tokens the length of an answer
 * @param connections the most connections to a target
 * @param model the model asked for
 * @param requestClass the class of the requests
 * @param key the customer's key
 */
public record LoadPlan(List<String> targets, double requestsPerSecond, int streamedPercent, int tokens, int connections,
		String model, String requestClass, String key) {

	public LoadPlan {
		targets = List.copyOf(targets);
	}

}
