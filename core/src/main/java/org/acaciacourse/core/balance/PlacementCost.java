package org.acaciacourse.core.balance;

import net.openhft.hashing.LongHashFunction;

/**
 * What it costs to put a request at an endpoint, in prompt tokens: what the request waits
 * there, and what those wait longer that are there.
 * <p>
 * Thread safe: it has no state.
 */
final class PlacementCost {

	private static final LongHashFunction HASH = LongHashFunction.xx3();

	/**
	 * What a running request costs one that joins it, in prompt tokens: a step of a batch
	 * takes about 0.18 ms longer with each, an engine reads some 60 tokens in a
	 * millisecond, and a target covers some twenty steps.
	 */
	private static final double TOKENS_PER_RUNNING = 220;

	/**
	 * What reading a prompt where its shared part is not held costs, as a multiple of its
	 * work. An engine holds little more than its shared parts beside the requests that
	 * run, so that a part which is held twice drives out another one, and that one is
	 * read again. With 3 in place of 10 a day of twice the usual load on thirteen engines
	 * read 2.3 million tokens again, not 1.4.
	 */
	private static final double ANEW_FACTOR = 10;

	/** The work of a usual prompt, by which the requests that wait are estimated. */
	private static final double USUAL_WORK = 10_000;

	/**
	 * What it costs to put a brief request where long prompts belong: the work of two or
	 * three of those, which it is likely to wait for.
	 */
	private static final double BRIEF_ELSEWHERE_WORK = 40_000;

	/**
	 * What it costs to put a long prompt where brief requests belong: more than its own
	 * endpoints ever have waiting while any of them lives, as each such prompt delays
	 * some ten brief answers that are worth more.
	 */
	private static final double LONG_ELSEWHERE_WORK = 500_000;

	/**
	 * What a short prompt costs where brief requests belong, beside what it delays: work
	 * that has to wait elsewhere before it is worth to mix the kinds.
	 */
	private static final double SHORT_ELSEWHERE_WORK = 10_000;

	/**
	 * What a brief answer that runs beside costs a prompt which does not make it late, as
	 * a part of the work on that prompt, by which the answer is delayed.
	 */
	private static final double BESIDE_FACTOR = 0.5;

	/**
	 * What a brief answer costs that a prompt makes late: work of half a second, about as
	 * much as the prompt itself is late elsewhere in a burst, for each of those answers.
	 */
	private static final double MADE_LATE_WORK = 30_000;

	/** What a request that waits at the endpoint costs, in prompt tokens. */
	private static final double TOKENS_PER_WAITING = 4_000;

	/**
	 * What a failure rate of 1 costs, in prompt tokens: more than any queue, so that an
	 * endpoint that fails is taken when nothing else is left.
	 */
	private static final double TOKENS_PER_FAILURE = 60_000;

	/**
	 * What a new connection costs, in prompt tokens: the time of two round trips and of
	 * the endpoint's work on it, some milliseconds. Less than a request that runs beside,
	 * so that it only decides between endpoints that are about equally busy.
	 */
	private static final double CONNECTION_WORK = 200;

	private PlacementCost() {
	}

	/**
	 * Return the cost of the load and the health of an endpoint, and of the work there.
	 * @param load the endpoint
	 * @param asked the request
	 * @param held the tokens of the prompt that the endpoint holds
	 * @param isPlace whether the endpoint is the one to read the shared parts, or holds
	 * them
	 * @param now the time
	 * @return the cost
	 */
	static double of(EndpointLoad load, Placement asked, long held, boolean isPlace, long now) {
		long waiting = load.waitingWork();
		return waiting + work(asked.shape(), held, isPlace, waiting) + running(load, now) + failures(load, now)
				+ tieBreak(load, asked.salt());
	}

	// Reading a shared part for the first time can't be avoided. Where it does not belong
	// it is read once more. Whatever is read delays all that wait there: when all queues
	// are long, reading parts in many places makes them longer still, until engines do
	// little else.
	private static double work(PromptShape shape, long held, boolean isPlace, long waiting) {
		double delayed = waiting / USUAL_WORK;
		return (((isPlace) ? 1 : ANEW_FACTOR) + delayed) * shape.work(held);
	}

	// A service with few slots is full with few requests: a request there costs as much
	// as
	// a full batch shared by its slots.
	private static double running(EndpointLoad load, long now) {
		double slots = load.endpoint().slots();
		int running = load.running(now);
		double over = Math.max(0, running + 1 - slots);
		return Math.max(TOKENS_PER_RUNNING, TOKENS_PER_WAITING / slots) * running
				+ TOKENS_PER_WAITING * (over + load.waiting(now));
	}

	private static double failures(EndpointLoad load, long now) {
		return TOKENS_PER_FAILURE * ((load.isSuspect(now)) ? 1 : load.failureRate(now));
	}

	/**
	 * Return the cost of putting a brief request where long prompts belong.
	 * @return the cost
	 */
	static double briefElsewhere() {
		return BRIEF_ELSEWHERE_WORK;
	}

	/**
	 * Return the cost of putting a prompt where brief requests belong.
	 * @param work the work on the prompt
	 * @param harmless the work that makes no brief answer late
	 * @return the cost
	 */
	static double elsewhere(long work, long harmless) {
		return (work > harmless) ? LONG_ELSEWHERE_WORK : SHORT_ELSEWHERE_WORK;
	}

	/**
	 * Return the cost of putting a prompt beside brief answers that run.
	 * @param brief the brief answers
	 * @param work the work on the prompt
	 * @param harmless the work that makes no brief answer late
	 * @return the cost
	 */
	static double beside(int brief, long work, long harmless) {
		return brief * ((work > harmless) ? MADE_LATE_WORK : BESIDE_FACTOR * work);
	}

	/**
	 * Return the cost of a new connection.
	 * @return the cost
	 */
	static double connection() {
		return CONNECTION_WORK;
	}

	// Below one token: VMs that know nothing of each other's requests should not all take
	// the first of equal endpoints.
	private static double tieBreak(EndpointLoad load, long salt) {
		long mixed = HASH.hashLong(salt ^ load.hash());
		return (mixed >>> 11) * 0x1.0p-53;
	}

}
