package org.acaciacourse.core.balance;

import java.util.List;

/**
 * The endpoints that are compared for one request: a random sample of those for brief
 * requests and one of the others. Where the speeds of endpoints are in use, a fast
 * endpoint is drawn more often than a slow one, as the better one of two slow endpoints
 * would get the request however many fast ones there are.
 * <p>
 * Not thread safe: for one request, which visits the endpoints in their order.
 */
final class CandidateDraw {

	private final BriefEngines briefEngines;

	private final boolean divided;

	private final CandidateSampler.Sample brief;

	private final CandidateSampler.Sample others;

	/**
	 * Make a draw.
	 * @param usable the endpoints in the order in which they are visited
	 * @param briefEngines tells which of them are reserved for brief requests
	 * @param divided whether the two kinds are drawn apart
	 * @param bySpeed whether endpoints are drawn in proportion to their speed
	 * @param share the fraction to draw
	 * @param salt selects the sample
	 * @param now the time
	 */
	CandidateDraw(List<EndpointLoad> usable, BriefEngines briefEngines, boolean divided, boolean bySpeed, double share,
			long salt, long now) {
		this.briefEngines = briefEngines;
		this.divided = divided;
		int briefCount = 0;
		double briefSpeed = 0;
		double otherSpeed = 0;
		for (EndpointLoad load : usable) {
			double speed = (bySpeed) ? load.speed().expected(now) : 1;
			if (isBrief(load)) {
				briefCount++;
				briefSpeed += speed;
			}
			else {
				otherSpeed += speed;
			}
		}
		int otherCount = usable.size() - briefCount;
		if (bySpeed && share < 1) {
			this.brief = new WeightedDraw(share, briefCount, briefSpeed, salt);
			this.others = new WeightedDraw(share, otherCount, otherSpeed, salt);
		}
		else {
			this.brief = new CandidateSampler.Draw(share, briefCount, salt);
			this.others = new CandidateSampler.Draw(share, otherCount, salt);
		}
	}

	private boolean isBrief(EndpointLoad load) {
		return this.divided && this.briefEngines.contains(load);
	}

	/**
	 * Return whether the next endpoint is in the sample.
	 * @param load the endpoint
	 * @param now the time
	 * @return whether to compare it
	 */
	boolean isNextDrawn(EndpointLoad load, long now) {
		double weight = load.speed().expected(now);
		return ((isBrief(load)) ? this.brief : this.others).isNextDrawn(weight);
	}

}
