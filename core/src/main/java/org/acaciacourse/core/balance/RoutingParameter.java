package org.acaciacourse.core.balance;

import java.util.Arrays;
import java.util.Optional;

import org.acaciacourse.core.ini.Range;

/**
 * The figures of a {@link RoutingPolicy} with unit, default and permitted range. Costs
 * are in tokens of prompts that wait to be read, the unit of the cost of an endpoint.
 * <p>
 * Immutable and thread safe.
 */
public enum RoutingParameter {

	/**
	 * What a running request costs one that joins it: a step of a batch takes about 0.18
	 * ms longer with each, an engine reads some 60 tokens in a millisecond, and a target
	 * covers some twenty steps.
	 */
	RUNNING_COST("running-cost", "tokens", 220, 0, 100_000),

	/** What a request that waits at the endpoint costs. */
	WAITING_COST("waiting-cost", "tokens", 4_000, 0, 1_000_000),

	/**
	 * What reading a prompt where its shared part is not held costs, as a multiple of its
	 * work. An engine holds little more than its shared parts beside the requests that
	 * run, so that a part which is held twice drives out another one, and that one is
	 * read again. With 3 in place of 10 a day of twice the usual load on thirteen engines
	 * read 2.3 million tokens again, not 1.4.
	 */
	ANEW_FACTOR("anew-factor", "times", 10, 1, 1_000),

	/**
	 * The same at the endpoint that the hash of the part names second, and by how much
	 * the queue of the first one is longer when it reads the part once more. A part has
	 * two homes at most, so that the other parts keep their place in the memory.
	 */
	SECOND_FACTOR("second-factor", "times", 3, 1, 1_000),

	/**
	 * By how much the queue of the first home of a part is longer, as a multiple of the
	 * work on the prompt, when the second one reads a part that neither holds. Reading it
	 * is no loss there; but entries that do not know of one another's choice may have
	 * both read it.
	 */
	NEW_PART_FACTOR("new-part-factor", "times", 0.25, 0, 1_000),

	/**
	 * What a failure rate of 1 costs: more than any queue, so that an endpoint that fails
	 * is taken when nothing else is left.
	 */
	FAILURE_COST("failure-cost", "tokens", 60_000, 0, 10_000_000),

	/**
	 * What a new connection costs: the time of two round trips and of the endpoint's work
	 * on it, some milliseconds. Less than a request that runs beside, so that it only
	 * decides between endpoints that are about equally busy.
	 */
	CONNECTION_COST("connection-cost", "tokens", 200, 0, 1_000_000),

	/**
	 * What it costs to put a brief request where long prompts belong: the work of two or
	 * three of those, which it is likely to wait for.
	 */
	BRIEF_ELSEWHERE_COST("brief-elsewhere-cost", "tokens", 40_000, 0, 10_000_000),

	/**
	 * What it costs to put a long prompt where brief requests belong: more than its own
	 * endpoints ever have waiting while any of them lives, as each such prompt delays
	 * some ten brief answers that are worth more.
	 */
	LONG_ELSEWHERE_COST("long-elsewhere-cost", "tokens", 500_000, 0, 100_000_000),

	/**
	 * What a short prompt costs where brief requests belong, beside what it delays: work
	 * that has to wait elsewhere before it is worth to mix the kinds.
	 */
	SHORT_ELSEWHERE_COST("short-elsewhere-cost", "tokens", 10_000, 0, 10_000_000),

	/**
	 * What a brief answer costs that a prompt makes late: work of half a second, about as
	 * much as the prompt itself is late elsewhere in a burst, for each of those answers.
	 */
	LATE_ANSWER_COST("late-answer-cost", "tokens", 30_000, 0, 10_000_000),

	/**
	 * What a brief answer that runs beside costs a prompt which does not make it late, as
	 * a part of the work on that prompt, by which the answer is delayed.
	 */
	BESIDE_FACTOR("beside-factor", "times", 0.5, 0, 100),

	/**
	 * The work that may come between two events, for each millisecond of the gap that is
	 * aimed for: engines read some 50 tokens in one, and the steps of the batch take the
	 * larger part of the gap.
	 */
	HARMLESS_WORK("harmless-work", "tokens per ms", 20, 0, 10_000),

	/**
	 * How many requests, that other entries sent and did not tell yet, the endpoint may
	 * get that looks best to all: two of them delay one another by the gap of an event at
	 * most.
	 */
	UNTOLD_REQUESTS("untold-requests", "requests", 2, 0.1, 1_000),

	/**
	 * With how many peers entries tell one another what they have under way; with more
	 * they report to relays. Relays pass on each use of a prompt part to their group: at
	 * 600 requests a second that fills a link of 7 Mbit/s.
	 */
	MOST_DIRECT_PEERS("most-direct-peers", "entries", 1_000, 1, 100_000),

	/** Targets within this factor of the shortest one are those of brief requests. */
	NEARLY_SHORTEST("nearly-shortest", "times", 1.25, 1, 100),

	/** The part of the engines for brief requests until it is seen what they need. */
	FIRST_BRIEF_SHARE("first-brief-share", "part of the engines", 0.25, 0, 0.5),

	/**
	 * The part of the slots that brief requests may fill before there is another engine
	 * for them, whatever waits elsewhere. A step of a batch grows with the requests in
	 * it, so that beyond this a little more load makes the batch fill up.
	 */
	MOST_FILLED("most-filled", "part of the slots", 0.9, 0.05, 1),

	/**
	 * The part of the slots that brief requests may fill on one engine less for that one
	 * to be given back: below {@link #MOST_FILLED}, as they run longer on fewer engines.
	 */
	FILLED_AFTER("filled-after", "part of the slots", 0.6, 0, 1),

	/** What brief requests fill before they get an engine that nobody else needs. */
	LEAST_FILLED("least-filled", "part of the slots", 0.25, 0, 1),

	/**
	 * The work that waits at each engine for long prompts when these need another one: a
	 * usual prompt.
	 */
	PRESSED_WORK("pressed-work", "tokens", 10_000, 0, 10_000_000),

	/** The work below which long prompts do not need all engines that they have. */
	CALM_WORK("calm-work", "tokens", 4_000, 0, 10_000_000),

	/** An engine that runs anything is heard of many times in this time. */
	ENGINE_SILENCE("engine-silence", "ms", 1_500, 100, 60_000);

	private final String label;

	private final String unit;

	private final double defaultValue;

	private final Range range;

	RoutingParameter(String label, String unit, double defaultValue, double min, double max) {
		this.label = label;
		this.unit = unit;
		this.defaultValue = defaultValue;
		this.range = new Range(min, max);
	}

	/**
	 * Find a parameter by its word in a settings file.
	 * @param label the word
	 * @return the parameter, if there is one
	 */
	public static Optional<RoutingParameter> ofLabel(String label) {
		return Arrays.stream(values()).filter((parameter) -> parameter.label.equals(label)).findFirst();
	}

	/**
	 * Return the word used in settings files and logs.
	 * @return the label
	 */
	public String label() {
		return this.label;
	}

	/**
	 * Return the value where a policy gives none.
	 * @return the default
	 */
	public double defaultValue() {
		return this.defaultValue;
	}

	/**
	 * Return whether a value is within the range.
	 * @param value the value
	 * @return whether it may be used
	 */
	public boolean permits(double value) {
		return this.range.permits(value);
	}

	/**
	 * Return the range with its unit as a text for people.
	 * @return the range
	 */
	public String range() {
		return this.range + " " + this.unit;
	}

}
