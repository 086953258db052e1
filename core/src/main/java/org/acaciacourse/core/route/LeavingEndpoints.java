package org.acaciacourse.core.route;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The endpoints that have stated themselves that they are leaving, which the platform's
 * list shows later or, out of touch with it, not at all. The statement holds for the run
 * of the endpoint: a list that still shows it as staying, or not at all for a moment,
 * does not end it.
 * <p>
 * Not thread safe: belongs to one event loop.
 */
public final class LeavingEndpoints {

	/**
	 * After this time without being listed the run of an endpoint has ended. Longer than
	 * lists lack an endpoint by mistake.
	 */
	static final long ABSENCE_NANOS = 60_000_000_000L;

	private final Set<String> stated = new HashSet<>();

	/** When the latest lists began to lack those that are not listed. */
	private final Map<String, Long> absentSince = new HashMap<>();

	/**
	 * Record that an endpoint stated that it is leaving.
	 * @param instance the endpoint
	 * @return whether it is the first statement
	 */
	public boolean stated(String instance) {
		return this.stated.add(instance);
	}

	/**
	 * Forget what an endpoint stated, as it has started again.
	 * @param instance the endpoint
	 */
	public void ended(String instance) {
		this.stated.remove(instance);
		this.absentSince.remove(instance);
	}

	/**
	 * Mark the endpoints that are leaving in a list.
	 * @param listed the list
	 * @param now the time
	 * @return the same list, in which these endpoints are leaving
	 */
	public Fleet mark(Fleet listed, long now) {
		if (this.stated.isEmpty()) {
			return listed;
		}
		Set<String> present = new HashSet<>();
		listed.endpoints().forEach((endpoint) -> present.add(endpoint.instance()));
		this.stated.removeIf((instance) -> hasEnded(instance, now));
		this.absentSince.keySet().removeIf((instance) -> present.contains(instance) || !this.stated.contains(instance));
		this.stated.stream()
			.filter((instance) -> !present.contains(instance))
			.forEach((instance) -> this.absentSince.putIfAbsent(instance, now));
		List<FleetEndpoint> marked = listed.endpoints()
			.stream()
			.map((endpoint) -> (this.stated.contains(endpoint.instance())) ? endpoint.asLeaving() : endpoint)
			.toList();
		return new Fleet(listed.revision(), marked);
	}

	private boolean hasEnded(String instance, long now) {
		Long since = this.absentSince.get(instance);
		return since != null && now - since > ABSENCE_NANOS;
	}

}
