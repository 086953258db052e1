package org.acaciacourse.core.balance;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The engines for requests whose target is the shortest: the first of all that stay, in
 * the order of a hash, so that the entry VMs agree on them. How many there are follows
 * from how many such requests run at all entries. An engine that is kept for them lacks
 * for long prompts, and one too few makes all brief answers late, so that no fixed part
 * is right for more than one mix.
 * <p>
 * On a day with bursts of both kinds, 48 in a hundred long prompts were in time with a
 * fixed quarter, two of six engines, and 79 with one; of the brief requests it was 89
 * with two and 68 with one.
 * <p>
 * Invariant: once divided, at most half of the engines are for brief requests.
 * <p>
 * Not thread safe: belongs to one {@link PoolBalancer}.
 */
final class BriefEngines {

	/** With fewer endpoints a crash would leave one of the two kinds without any. */
	private static final int LEAST_TO_DIVIDE = 4;

	/** Over what time the waiting work is taken: prompts come in clumps. */
	private static final double SMOOTHING_NANOS = 500_000_000;

	/** Digests of the other entries take some hundred milliseconds to show a change. */
	private static final long SETTLE_NANOS = 500_000_000L;

	/**
	 * How often it is looked at, at most: every request would take time for nothing.
	 */
	private static final long STEP_NANOS = 20_000_000L;

	/**
	 * How many change at a time, at most, as a part of all engines: what runs on fewer of
	 * them runs longer, which shows only then. With one at a time a hundred engines are
	 * behind a burst for as long as it lasts.
	 */
	private static final int CHANGE_PART = 8;

	private RoutingPolicy policy = RoutingPolicy.DEFAULT;

	private List<EndpointLoad> order = List.of();

	private final Set<EndpointLoad> brief = new HashSet<>();

	// 0 before there are endpoints.
	private int size;

	private double waiting;

	private int running;

	private long seenAt = Long.MIN_VALUE / 2;

	private long changedAt = Long.MIN_VALUE / 2;

	/**
	 * Set how the number of engines is found from now on.
	 * @param next the policy
	 * @param loads the endpoints
	 */
	void policy(RoutingPolicy next, Collection<EndpointLoad> loads) {
		this.policy = next;
		this.size = 0;
		divide(loads);
	}

	/**
	 * Divide the endpoints of a pool.
	 * @param loads the endpoints
	 */
	void divide(Collection<EndpointLoad> loads) {
		this.order = loads.stream()
			.filter((load) -> !load.endpoint().leaving())
			.sorted(Comparator.comparingLong(EndpointLoad::hash))
			.toList();
		if (this.size == 0) {
			this.size = (int) Math.max(1, Math.round(this.order.size() * value(RoutingParameter.FIRST_BRIEF_SHARE)));
		}
		this.size = Math.min(this.size, this.order.size() / 2);
		this.brief.clear();
		if (this.order.size() >= LEAST_TO_DIVIDE && this.policy.isOn(RoutingMechanism.BRIEF_ENGINES)) {
			this.order.stream().limit(this.size).forEach(this.brief::add);
		}
	}

	// The next ones stand in for those that are lost: brief requests would be spread over
	// all engines for long prompts otherwise, and be late there.
	private void pick(long now) {
		boolean standIns = this.policy.isOn(RoutingMechanism.BRIEF_STAND_INS);
		this.brief.clear();
		for (EndpointLoad load : this.order) {
			if (this.brief.size() < this.size && (!standIns || isSound(load, now))) {
				this.brief.add(load);
			}
		}
		if (this.brief.isEmpty()) {
			this.brief.add(this.order.get(0));
		}
	}

	private boolean isSound(EndpointLoad load, long now) {
		return !load.isLost() && !(this.policy.isOn(RoutingMechanism.SUSPECTS) && load.isSuspect(now));
	}

	/**
	 * Let the number of engines follow what runs and waits at all entries.
	 * @param now the time
	 */
	void follow(long now) {
		if (this.brief.isEmpty() || now - this.seenAt < STEP_NANOS) {
			return;
		}
		pick(now);
		measure(now);
		if (now - this.changedAt < SETTLE_NANOS || !this.policy.isOn(RoutingMechanism.BRIEF_ENGINES_FOLLOW_LOAD)) {
			return;
		}
		double most = value((this.waiting < value(RoutingParameter.CALM_WORK)) ? RoutingParameter.LEAST_FILLED
				: RoutingParameter.MOST_FILLED);
		if (this.running > most * slots(this.size)) {
			int next = Math.max(this.size + 1, Math.min(this.size + mostChange(), needed(most)));
			change(Math.min(this.order.size() / 2, next), now);
		}
		else if (this.waiting > value(RoutingParameter.PRESSED_WORK) && this.size > 1
				&& this.running < value(RoutingParameter.FILLED_AFTER) * slots(this.size - 1)) {
			int next = Math.max(this.size - mostChange(), needed(value(RoutingParameter.FILLED_AFTER)));
			change(Math.max(1, Math.min(this.size - 1, next)), now);
		}
	}

	private int mostChange() {
		return Math.max(1, this.order.size() / CHANGE_PART);
	}

	// How many engines the brief requests fill to a part of their slots.
	private int needed(double filled) {
		double slotsEach = (double) slots(this.order.size()) / this.order.size();
		return (int) Math.ceil(this.running / (filled * slotsEach));
	}

	private double value(RoutingParameter parameter) {
		return this.policy.value(parameter);
	}

	private void measure(long now) {
		double next = this.order.stream()
			.filter((load) -> !this.brief.contains(load))
			.mapToLong(EndpointLoad::waitingWork)
			.average()
			.orElse(0);
		this.waiting += (next - this.waiting) * (1 - Math.exp((this.seenAt - now) / SMOOTHING_NANOS));
		this.seenAt = now;
		this.running = this.order.stream().mapToInt(EndpointLoad::brief).sum();
	}

	private void change(int next, long now) {
		if (next != this.size) {
			this.size = next;
			this.changedAt = now;
			pick(now);
		}
	}

	private int slots(int engines) {
		return this.order.stream().limit(engines).mapToInt((load) -> load.endpoint().slots()).sum();
	}

	boolean contains(EndpointLoad load) {
		return this.brief.contains(load);
	}

	/**
	 * Tell what is believed, for the log.
	 * @return the division as it was looked at last
	 */
	PoolBalancer.Division told() {
		return new PoolBalancer.Division(this.brief.size(), this.running, Math.round(this.waiting));
	}

	/**
	 * Return whether the pool is divided.
	 * @return false if it has too few endpoints
	 */
	boolean isDivided() {
		return !this.brief.isEmpty();
	}

}
