package org.acaciacourse.core.balance;

import java.util.Arrays;
import java.util.Optional;

/**
 * The mechanisms of request routing that a policy may switch off. All are on by default.
 * <p>
 * Immutable and thread safe.
 */
public enum RoutingMechanism {

	/** Entry VMs exchange digests of the load that they cause at each endpoint. */
	LOAD_DIGESTS("load-digests"),

	/** Entry VMs report to each other which prompt parts an endpoint has prefilled. */
	PARTS_TOLD("parts-told", LOAD_DIGESTS),

	/**
	 * The older the information about the endpoints, the fewer are compared for a
	 * request.
	 */
	SAMPLED_CHOICE("sampled-choice"),

	/**
	 * A part that no endpoint has cached is first prefilled at its home, named by a hash.
	 */
	HOME_OF_PARTS("home-of-parts"),

	/**
	 * A second endpoint prefills a part if the queue at its home is long. Has no effect
	 * without {@link #HOME_OF_PARTS}.
	 */
	SECOND_HOME("second-home"),

	/** Prefilling a part again that others have cached costs a multiple of its work. */
	PRICE_OF_READING_ANEW("price-of-reading-anew"),

	/** Endpoints whose responses fail are avoided. */
	PRICE_OF_FAILURES("price-of-failures"),

	/** Among equal endpoints, one with an idle connection is preferred. */
	PRICE_OF_CONNECTIONS("price-of-connections"),

	/** An endpoint that was lost or full gets no requests for a while. */
	PAUSES("pauses"),

	/** An endpoint whose responses all stalled is avoided. */
	SUSPECTS("suspects"),

	/** An attempt from which nothing arrives is replaced by one at another endpoint. */
	REPLACED_ATTEMPTS("replaced-attempts"),

	/** Endpoints that this VM can't reach are reached through another entry VM. */
	TUNNELS("tunnels"),

	/** Some engines are reserved for requests with the tightest latency target. */
	BRIEF_ENGINES("brief-engines"),

	/** The number of engines for brief requests follows the load. */
	BRIEF_ENGINES_FOLLOW_LOAD("brief-engines-follow-load", BRIEF_ENGINES),

	/** A lost engine for brief requests is replaced by the next one. */
	BRIEF_STAND_INS("brief-stand-ins", BRIEF_ENGINES),

	/** Short prompts of other requests may use the engines for brief requests. */
	SHORT_BESIDE_BRIEF("short-beside-brief", BRIEF_ENGINES),

	/**
	 * A prompt that makes running brief responses late incurs a cost for each of them.
	 */
	PRICE_OF_LATE_ANSWERS("price-of-late-answers", BRIEF_ENGINES),

	/** Customers of equal priority are ranked by the priority of their routes. */
	RANKS_OF_ROUTES("ranks-of-routes"),

	/** Requests that will be late in any case wait behind those that can be on time. */
	DEFERRAL("deferral", RANKS_OF_ROUTES),

	/** Waiting requests get an endpoint by rank and target instead of by arrival. */
	ORDER_OF_THE_QUEUE("order-of-the-queue"),

	/** Requests that arrive before the first configuration are held for a while. */
	HELD_REQUESTS("held-requests"),

	/** An entry VM accepts connections before it is ready. */
	EARLY_LISTENING("early-listening");

	private final String label;

	private final Optional<RoutingMechanism> dependency;

	RoutingMechanism(String label) {
		this.label = label;
		this.dependency = Optional.empty();
	}

	RoutingMechanism(String label, RoutingMechanism dependency) {
		this.label = label;
		this.dependency = Optional.of(dependency);
	}

	/**
	 * Find a mechanism by its key in a settings file.
	 * @param label the key
	 * @return the mechanism, if there is one
	 */
	public static Optional<RoutingMechanism> ofLabel(String label) {
		return Arrays.stream(values()).filter((mechanism) -> mechanism.label.equals(label)).findFirst();
	}

	/**
	 * Return the name used in settings files, logs and metrics.
	 * @return the label
	 */
	public String label() {
		return this.label;
	}

	/**
	 * Return the mechanism without which this one has no effect.
	 * @return that mechanism, if there is one
	 */
	public Optional<RoutingMechanism> dependency() {
		return this.dependency;
	}

}
