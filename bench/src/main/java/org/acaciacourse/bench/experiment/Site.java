package org.acaciacourse.bench.experiment;

import java.net.URI;
import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.acaciacourse.core.model.Customer;
import org.acaciacourse.core.model.Endpoint;
import org.acaciacourse.core.model.EndpointSet;
import org.acaciacourse.core.model.LatencyTarget;
import org.acaciacourse.core.model.Manifest;
import org.acaciacourse.core.model.Policy;
import org.acaciacourse.core.model.PolicyKind;
import org.acaciacourse.core.model.PolicySelection;
import org.acaciacourse.core.model.RequestClass;
import org.acaciacourse.core.model.Tier;

/**
 * The sizes of today's two users, with their classes.
 * <p>
 * Immutable and thread safe.
 */
public enum Site {

	/** Thirteen engines behind six entry VMs in Ghana. */
	NKWANTA("nkwanta", 13, 6, 500_000L, "urgent-summary", 3, "summary", 120, "overnight-summary"),

	/** Eight engines behind nine entry VMs in Wales. */
	TARIAN("tarian", 8, 9, 500_000L, "broker", 2, "endorsement", 180, "survey");

	static final String ENDPOINT_SET = "llm";

	static final int CUSTOMERS = 10;

	static final int SLOTS = 8;

	static final int DATA_CENTRES = 3;

	final String label;

	final int engines;

	final int entries;

	/** One way between data centres. */
	final long delayNanos;

	private final Map<Tier, RequestClass> classes;

	Site(String label, int engines, int entries, long delayNanos, String high, int highSeconds, String middle,
			int middleSeconds, String low) {
		this.label = label;
		this.engines = engines;
		this.entries = entries;
		this.delayNanos = delayNanos;
		Duration soon = Duration.ofSeconds(highSeconds);
		Duration later = Duration.ofSeconds(middleSeconds);
		this.classes = Map.of(Tier.HIGH,
				requestClass(high, Tier.HIGH, LatencyTarget.Kind.FIRST_TOKEN, soon, Duration.ofSeconds(90)),
				Tier.MIDDLE,
				requestClass(middle, Tier.MIDDLE, LatencyTarget.Kind.WHOLE_ANSWER, later, Duration.ofMinutes(15)),
				Tier.LOW, requestClass(low, Tier.LOW, LatencyTarget.Kind.WHOLE_ANSWER, Duration.ofHours(8),
						Duration.ofHours(12)));
	}

	private static RequestClass requestClass(String name, Tier tier, LatencyTarget.Kind kind, Duration target,
			Duration deadline) {
		boolean preemptible = tier != Tier.HIGH;
		return new RequestClass(name, tier, new LatencyTarget(kind, target), deadline, preemptible,
				List.of(ENDPOINT_SET));
	}

	/**
	 * Find a site by its name.
	 * @param label the name
	 * @return the site, if there is one
	 */
	public static Optional<Site> ofLabel(String label) {
		return Arrays.stream(values()).filter((site) -> site.label.equals(label)).findFirst();
	}

	RequestClass requestClass(Tier tier) {
		return this.classes.get(tier);
	}

	static String engineName(int index) {
		return String.format("engine-%02d", index);
	}

	static String customerName(int index) {
		return "customer-" + index;
	}

	int owners() {
		return Math.min(this.entries, this.engines);
	}

	Manifest manifest(PolicyKind kind, Map<String, Double> parameters, int part, int parts) {
		Map<String, RequestClass> byName = new HashMap<>();
		this.classes.values().forEach((c) -> byName.put(c.name(), c));
		Map<String, Endpoint> endpoints = new HashMap<>();
		for (int i = part; i < this.engines; i += parts) {
			String name = engineName(i);
			URI address = URI.create("http://127.0.0.1:" + (9000 + i));
			endpoints.put(name, new Endpoint(name, ENDPOINT_SET, address, "dc-" + (i % DATA_CENTRES), SLOTS, false));
		}
		Map<String, Customer> customers = new HashMap<>();
		for (int i = 0; i < CUSTOMERS; i++) {
			String name = customerName(i);
			customers.put(name, new Customer(name, Set.of(), List.copyOf(byName.keySet()), 100_000, 100_000, 1));
		}
		EndpointSet set = new EndpointSet(ENDPOINT_SET, EndpointSet.Kind.MODEL, Set.of("model"), true, true, true);
		Policy policy = new Policy(kind.label(), kind, parameters);
		return new Manifest(1, "", new PolicySelection(policy.name(), Optional.empty(), 0),
				Map.of(policy.name(), policy), byName, Map.of(ENDPOINT_SET, set), endpoints, customers, Map.of(),
				Set.of());
	}

}
