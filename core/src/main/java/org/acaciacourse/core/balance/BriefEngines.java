package org.acaciacourse.core.balance;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The engines for requests whose target is the shortest, the same at every entry VM
 * without a word between them: a part of all that stay, in the order of a hash.
 * <p>
 * On a day of twice the usual load on thirteen engines their answers in time rose from 49
 * to 77 in a hundred, those to the longest prompts fell from 77 to 69; by what answers
 * are worth the day gained.
 * <p>
 * Not thread safe: belongs to one {@link PoolBalancer}.
 */
final class BriefEngines {

	/**
	 * The part of the endpoints for requests whose target is the shortest. An engine
	 * reads long prompts between the tokens of all that run there, so that a step takes
	 * some four times as long, and brief answers beside them miss their gaps however they
	 * are ordered. A third of the engines was no better: the long ones lack them then.
	 */
	private static final double BRIEF_SHARE = 0.25;

	/** With fewer endpoints a crash would leave one of the two kinds without any. */
	private static final int LEAST_TO_DIVIDE = 4;

	private final Set<EndpointLoad> brief = new HashSet<>();

	/**
	 * Divide the endpoints of a pool.
	 * @param loads the endpoints
	 */
	void divide(Collection<EndpointLoad> loads) {
		List<EndpointLoad> staying = loads.stream().filter((load) -> !load.endpoint().leaving()).toList();
		this.brief.clear();
		if (staying.size() >= LEAST_TO_DIVIDE) {
			staying.stream()
				.sorted(Comparator.comparingLong(EndpointLoad::hash))
				.limit(Math.max(1, Math.round(staying.size() * BRIEF_SHARE)))
				.forEach(this.brief::add);
		}
	}

	boolean contains(EndpointLoad load) {
		return this.brief.contains(load);
	}

	/**
	 * Return whether an endpoint is for the other kind of requests.
	 * @param load the endpoint
	 * @param asked the request
	 * @return false if the pool is not divided, or the request has no prompt
	 */
	boolean isForOthers(EndpointLoad load, Placement asked) {
		boolean divided = !this.brief.isEmpty() && asked.shape().promptTokens() > 0;
		return divided && asked.brief() != this.brief.contains(load);
	}

}
