package org.acaciacourse.core.balance;

import java.util.Arrays;
import java.util.Optional;

/**
 * The mechanisms of the routed path that a policy may switch off, each with what it is
 * for. All are on by default.
 * <p>
 * Immutable and thread safe.
 */
public enum RoutingMechanism {

	/** Entries tell one another what they have under way at each endpoint. */
	LOAD_DIGESTS("load-digests"),

	/** Entries tell one another which parts of prompts an endpoint has read. */
	PARTS_TOLD("parts-told", LOAD_DIGESTS),

	/** Fewer endpoints are compared for a request, the older what is known of them. */
	SAMPLED_CHOICE("sampled-choice"),

	/** A part that no endpoint holds is read first at the one that a hash names. */
	HOME_OF_PARTS("home-of-parts"),

	/**
	 * A second endpoint reads a part for which the queue of the first one is long.
	 * Without {@link #HOME_OF_PARTS} there is neither.
	 */
	SECOND_HOME("second-home"),

	/** Reading a part where others hold it costs a multiple of its work. */
	PRICE_OF_READING_ANEW("price-of-reading-anew"),

	/** Endpoints whose answers fail are avoided. */
	PRICE_OF_FAILURES("price-of-failures"),

	/** Among equals the endpoint is taken that an idle connection leads to. */
	PRICE_OF_CONNECTIONS("price-of-connections"),

	/** An endpoint that was lost or full gets nothing for a while. */
	PAUSES("pauses"),

	/** An endpoint whose answers all stopped in the middle is avoided. */
	SUSPECTS("suspects"),

	/** An attempt that nothing is heard of is replaced by one elsewhere. */
	REPLACED_ATTEMPTS("replaced-attempts"),

	/** Some engines are for the requests whose target is the shortest. */
	BRIEF_ENGINES("brief-engines"),

	/** The number of engines for brief requests follows the load. */
	BRIEF_ENGINES_FOLLOW_LOAD("brief-engines-follow-load", BRIEF_ENGINES),

	/** The next engine stands in for one for brief requests that is lost. */
	BRIEF_STAND_INS("brief-stand-ins", BRIEF_ENGINES),

	/** Short prompts of others may go to the engines for brief requests. */
	SHORT_BESIDE_BRIEF("short-beside-brief", BRIEF_ENGINES),

	/** A prompt that makes running brief answers late costs something for each. */
	PRICE_OF_LATE_ANSWERS("price-of-late-answers", BRIEF_ENGINES),

	/** Customers of one priority are ranked by the priority of their routes. */
	RANKS_OF_ROUTES("ranks-of-routes"),

	/** What is late in any case waits behind what can still be in time. */
	DEFERRAL("deferral", RANKS_OF_ROUTES),

	/** Waiting requests get their endpoint by rank and target, not by arrival. */
	ORDER_OF_THE_QUEUE("order-of-the-queue"),

	/** Requests that come before the first configuration are held for a while. */
	HELD_REQUESTS("held-requests"),

	/** An entry takes connections before it is ready. */
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
	 * Find a mechanism by its word in a settings file.
	 * @param label the word
	 * @return the mechanism, if there is one
	 */
	public static Optional<RoutingMechanism> ofLabel(String label) {
		return Arrays.stream(values()).filter((mechanism) -> mechanism.label.equals(label)).findFirst();
	}

	/**
	 * Return the word used in settings files, logs and metrics.
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
