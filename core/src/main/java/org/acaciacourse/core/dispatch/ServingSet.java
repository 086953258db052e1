package org.acaciacourse.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.acaciacourse.core.dispatch.learn.Average;
import org.acaciacourse.core.dispatch.learn.Spread;
import org.acaciacourse.core.model.EndpointSet;
import org.acaciacourse.core.model.Tier;

/**
 * One endpoint set with its endpoints, the requests that wait for it and what was learnt
 * from the traffic.
 * <p>
 * Invariants: learnt state is bounded by classes and {@link #SPREADS_KEPT}; the ledger of
 * the low tier is clamped, so that an idle hour does not buy a burst.
 * <p>
 * Not thread safe: owned by one dispatcher.
 */
final class ServingSet {

	private static final int SPREADS_KEPT = 8_192;

	private static final double TYPICAL_TOKENS = 200;

	private static final double LEDGER_LIMIT = 2_000;

	/** How far its own tokens may carry the low tier ahead of its share. */
	private static final double LEDGER_AHEAD = 600;

	private static final double FIRST_TOKEN_QUANTILE = 0.9;

	private static final double DURATION_QUANTILE = 0.5;

	private static final double MIX_GAIN = 0.03;

	private static final int ASIDE_PART = 6;

	/** An endpoint is idle with at most this part of its slots in use. */
	private static final int IDLE_PART = 4;

	private static final double SLOWNESS_MEMORY = 0.02;

	final String name;

	final List<EndpointView> endpoints = new ArrayList<>();

	final Map<String, WaitingLine> lines = new LinkedHashMap<>();

	EndpointSet declared;

	/** What may be sent beyond the slots. */
	final BeyondWindow beyond = new BeyondWindow();

	int running;

	int guaranteed;

	int turn;

	private final Map<String, Spread> tokens = new HashMap<>();

	private final Map<String, Spread> durations = new HashMap<>();

	private final Map<String, Spread> firstTokens = new HashMap<>();

	private final List<EndpointView> aside = new ArrayList<>();

	private final long[] heldUntil = new long[WaitingLine.LANES];

	private long asideSince;

	private final Average lowerShare = new Average(MIX_GAIN);

	private double ledger;

	private double medianGap;

	ServingSet(EndpointSet declared) {
		this.name = declared.name();
		this.declared = declared;
	}

	int waiting() {
		int count = 0;
		for (WaitingLine line : this.lines.values()) {
			count += line.size();
		}
		return count;
	}

	boolean hasEndpointInService() {
		return this.endpoints.stream().anyMatch(EndpointView::isInService);
	}

	boolean canContinue() {
		return this.declared.resumable() || this.declared.deterministic();
	}

	// What was learnt

	void learnAnswer(PendingRequest pending) {
		String requestClass = pending.info.requestClass();
		spread(this.tokens, requestClass).learn(pending.delivered);
		if (this.tokens.size() < SPREADS_KEPT) {
			spread(this.tokens, customerKey(pending)).learn(pending.delivered);
		}
	}

	void learnRun(Run run, long now) {
		spread(this.durations, run.pending.info.requestClass()).learn((now - run.sentAt) / 1e6);
	}

	void learnFirstToken(PendingRequest pending, long nanos) {
		spread(this.firstTokens, pending.info.requestClass()).learn(nanos / 1e6);
	}

	double expectedTokens(PendingRequest pending) {
		Spread own = this.tokens.get(customerKey(pending));
		if (own != null && own.isKnown()) {
			return own.mean(TYPICAL_TOKENS);
		}
		Spread all = this.tokens.get(pending.info.requestClass());
		return (all != null) ? all.mean(TYPICAL_TOKENS) : TYPICAL_TOKENS;
	}

	// Return the mean time at an endpoint of a class in nanoseconds, 0 if unknown.
	double meanDuration(String requestClass) {
		Spread spread = this.durations.get(requestClass);
		return (spread != null) ? spread.mean(0) * 1e6 : 0;
	}

	// Return the least time from dispatch to the target in nanoseconds that is still
	// plausible: with less left, the target is out of reach.
	long leastTime(PendingRequest pending) {
		if (pending.isFirstTokenTarget()) {
			Spread first = this.firstTokens.get(pending.info.requestClass());
			return (first != null) ? (long) (first.quantile(FIRST_TOKEN_QUANTILE, 0) * 1e6) : 0;
		}
		Spread spread = this.durations.get(pending.info.requestClass());
		return (spread != null) ? (long) (spread.quantile(DURATION_QUANTILE, 0) * 1e6) : 0;
	}

	// Return the least time as a reason to refuse: nothing while an endpoint is idle.
	// What was learnt under load or during a fault says little of an idle endpoint, and
	// a refusal teaches nothing: without this a fault that made all answers late would
	// have every later request refused, for good. A request that an idle endpoint takes
	// is the probe that brings the estimate back.
	long leastTime(PendingRequest pending, Tuning tuning, int entryCount, long now) {
		return (hasIdleEndpoint(tuning, entryCount, now)) ? 0 : leastTime(pending);
	}

	private boolean hasIdleEndpoint(Tuning tuning, int entryCount, long now) {
		for (EndpointView endpoint : this.endpoints) {
			if (endpoint.acceptsWork(now) && !endpoint.quarantined
					&& endpoint.occupancy(tuning, entryCount, now) * IDLE_PART <= endpoint.usableSlots()) {
				return true;
			}
		}
		return false;
	}

	private static String customerKey(PendingRequest pending) {
		return pending.flow;
	}

	private static Spread spread(Map<String, Spread> spreads, String key) {
		return spreads.computeIfAbsent(key, (k) -> new Spread());
	}

	// The guaranteed share of the low tier

	// Book tokens: all of them earn the low tier its share, its own use it up.
	void bookTokens(boolean low, int count, double share) {
		this.ledger += share * count - ((low) ? count : 0);
		this.ledger = Math.max(-LEDGER_AHEAD, Math.min(LEDGER_LIMIT, this.ledger));
	}

	// Return whether the low tier is behind its share and may start a run that is not
	// preempted. One at a time, or the share of the runs, whichever is more: that bounds
	// what the upper tiers lose at any moment.
	boolean owesLowTier(double share) {
		return this.ledger > 0 && this.guaranteed < Math.max(1, (int) (share * this.running));
	}

	// Stragglers

	// Compare each endpoint with the median of its peers. An endpoint that got nothing to
	// do drifts back to the median, so that it is tried again.
	void compareSpeeds(double stragglerFactor) {
		double[] gaps = this.endpoints.stream()
			.filter((endpoint) -> endpoint.tokenGap.isKnown())
			.mapToDouble((endpoint) -> endpoint.tokenGap.get(0))
			.sorted()
			.toArray();
		if (gaps.length < 3) {
			this.endpoints.forEach((endpoint) -> endpoint.slowness = 1);
			return;
		}
		this.medianGap = gaps[(gaps.length - 1) / 2];
		for (EndpointView endpoint : this.endpoints) {
			if (endpoint.runs.isEmpty() && endpoint.tokenGap.isKnown()) {
				endpoint.tokenGap.relax(this.medianGap, SLOWNESS_MEMORY);
			}
			double ratio = endpoint.tokenGap.get(this.medianGap) / this.medianGap;
			endpoint.slowness = (ratio > stragglerFactor) ? ratio : 1;
		}
	}

	// The mix of tiers

	// Learn the share of lower work among this VM's runs. Traffic is spread over the VMs
	// by chance, so that the share of the others is much the same.
	void noteMix() {
		int lower = 0;
		int all = 0;
		for (EndpointView endpoint : this.endpoints) {
			all += endpoint.runs.size();
			for (Run run : endpoint.runs) {
				lower += (run.pending.requestClass.tier() != Tier.HIGH && !run.guaranteed) ? 1 : 0;
			}
		}
		if (all > 0) {
			this.lowerShare.learn(lower / (double) all);
		}
	}

	// Return how many slots hold lower work of any VM, as far as this VM's own mix tells.
	double lowerSlots() {
		int slots = 0;
		for (EndpointView endpoint : this.endpoints) {
			slots += (endpoint.isHealthy()) ? endpoint.usableSlots() : 0;
		}
		return this.lowerShare.get(1) * slots;
	}

	// Suspects

	// Set endpoints aside for suspects, or give them back: a sixth, the last by name, so
	// that all VMs take the same ones without a word between them. Return whether there
	// are any.
	boolean updateQuarantine(boolean suspected, long now) {
		boolean active = suspected || hasApartWaiting();
		if (!active && this.aside.isEmpty()) {
			return false;
		}
		this.asideSince = (this.aside.isEmpty()) ? now : this.asideSince;
		this.aside.forEach((endpoint) -> endpoint.quarantined = false);
		this.aside.clear();
		if (active) {
			this.endpoints.stream().filter(EndpointView::isHealthy).forEach(this.aside::add);
			int most = Math.max(1, this.aside.size() / ASIDE_PART);
			this.aside.subList(0, Math.max(0, this.aside.size() - most)).clear();
			boolean others = this.endpoints.size() > 1;
			this.aside.forEach((endpoint) -> endpoint.quarantined = others);
		}
		return active;
	}

	private boolean hasApartWaiting() {
		for (WaitingLine line : this.lines.values()) {
			for (int lane = 0; lane < WaitingLine.LANES; lane++) {
				for (PendingRequest pending : line.begun(lane)) {
					if (pending.apart) {
						return true;
					}
				}
			}
		}
		return false;
	}

	long asideSince() {
		return this.asideSince;
	}

	// What was refused

	// Hold lower lanes back after a refusal: until then the place of the refused request
	// must not go to a lower one, should the estimate have been too dark.
	void hold(int lane, long until) {
		this.heldUntil[lane] = Math.max(this.heldUntil[lane], until);
	}

	// Return whether something above a lane was refused so lately that the lane must
	// wait.
	boolean isHeld(int lane, long now) {
		for (int upper = 0; upper < lane; upper++) {
			if (now < this.heldUntil[upper]) {
				return true;
			}
		}
		return false;
	}

	List<EndpointView> aside() {
		return this.aside;
	}

}
