package org.acaciacourse.core.speed;

import java.util.HashMap;
import java.util.Map;

/**
 * What is known of the speed of one endpoint: the observations of this VM, and the latest
 * statement of each other VM. Speeds are logarithms, so that half and twice the speed are
 * equally far from the median.
 * <p>
 * Invariant: each other VM counts with its latest statement only. The view of a relay
 * includes the observations of this VM, so that either the view or the rest counts.
 * <p>
 * Not thread safe: belongs to one {@link SpeedTable}.
 */
final class ToldSpeeds {

	private static final String VIEW = "";

	/** The weight of a statement is 5% of what it was by then. */
	private static final long EXPIRY_NANOS = 3 * DecayingMean.TIME_CONSTANT_NANOS;

	private final DecayingMean own = new DecayingMean();

	/** The statements of all others, kept as a sum because each request reads it. */
	private final DecayingMean others = new DecayingMean();

	private final DecayingMean reported = new DecayingMean();

	private final Map<String, Told> latest = new HashMap<>();

	private final DecayingMean view = new DecayingMean();

	void observe(double logSpeed, long now) {
		this.own.add(logSpeed, 1, now);
	}

	/**
	 * Replace the statement of another VM.
	 * @param sender the VM
	 * @param sequence the sequence number of its digest
	 * @param report whether this VM passes it on, as the relay of the sender
	 * @param statement the statement
	 * @param now the time
	 * @return whether it is newer than the one before
	 */
	boolean told(String sender, long sequence, boolean report, SpeedStatement statement, long now) {
		Told before = this.latest.get(sender);
		if (before != null && sequence <= before.sequence()) {
			return false;
		}
		Told next = new Told(sequence, report, statement.logSpeed(), statement.weight(), now);
		if (before != null) {
			subtract(before, now);
		}
		this.latest.put(sender, next);
		this.others.add(next.logSpeed(), next.weight(), now);
		if (report) {
			this.reported.add(next.logSpeed(), next.weight(), now);
		}
		return true;
	}

	private void subtract(Told told, long now) {
		double left = told.weight() * DecayingMean.decay(now - told.at());
		this.others.remove(told.logSpeed(), left, now);
		if (told.report()) {
			this.reported.remove(told.logSpeed(), left, now);
		}
	}

	void viewed(long sequence, SpeedStatement statement, long now) {
		Told before = this.latest.get(VIEW);
		if (before != null && sequence <= before.sequence() && now - before.at() < EXPIRY_NANOS) {
			return;
		}
		this.latest.put(VIEW, new Told(sequence, false, statement.logSpeed(), 0, now));
		this.view.clear();
		this.view.add(statement.logSpeed(), statement.weight(), now);
	}

	/**
	 * Remove the statements that no longer count.
	 * @param now the time
	 * @return whether nothing is left
	 */
	boolean expire(long now) {
		this.latest.values().removeIf((told) -> {
			boolean expired = now - told.at() > EXPIRY_NANOS;
			if (expired) {
				subtract(told, now);
			}
			return expired;
		});
		return this.latest.isEmpty() && this.own.weight(now) < Math.exp(-3);
	}

	/** Drop the view, when this VM becomes a relay and makes one itself. */
	void dropView() {
		this.latest.remove(VIEW);
		this.view.clear();
	}

	SpeedEstimate observed(long now) {
		return new SpeedEstimate(this.own.mean(), this.own.weight(now));
	}

	// Of this VM and of those that report to it.
	SpeedEstimate ofGroup(long now) {
		return merge(this.own, this.reported, now);
	}

	SpeedEstimate ofAll(long now) {
		SpeedEstimate told = merge(this.own, this.others, now);
		double viewWeight = this.view.weight(now);
		return (viewWeight > told.weight()) ? new SpeedEstimate(this.view.mean(), viewWeight) : told;
	}

	// The same as ofAll without an allocation.
	void readInto(EndpointSpeed endpoint, long now) {
		double ownWeight = this.own.weight(now);
		double othersWeight = this.others.weight(now);
		double weight = ownWeight + othersWeight;
		double viewWeight = this.view.weight(now);
		if (viewWeight > weight) {
			endpoint.observed(this.view.mean(), viewWeight);
		}
		else {
			double sum = this.own.mean() * ownWeight + this.others.mean() * othersWeight;
			endpoint.observed((weight > 0) ? sum / weight : 0, weight);
		}
	}

	private static SpeedEstimate merge(DecayingMean one, DecayingMean other, long now) {
		double weight = one.weight(now) + other.weight(now);
		double sum = one.mean() * one.weight(now) + other.mean() * other.weight(now);
		return new SpeedEstimate((weight > 0) ? sum / weight : 0, weight);
	}

	private record Told(long sequence, boolean report, double logSpeed, int weight, long at) {
	}

}
