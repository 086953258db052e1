package org.acaciacourse.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.acaciacourse.core.dispatch.learn.DecayingHistogram;
import org.acaciacourse.core.dispatch.learn.MovingAverage;
import org.acaciacourse.core.model.EndpointSet;
import org.acaciacourse.core.model.Tier;

/**
 * The run-time state of one endpoint set: its endpoints, the waiting requests and the
 * statistics learned from the traffic.
 * <p>
 * Invariants: the learned state is bounded by the number of classes and
 * {@link #MAX_HISTOGRAMS}; the token balance of the low tier is clamped, so that an idle
 * hour does not permit a burst.
 * <p>
 * Not thread safe: owned by one dispatcher.
 */
final class EndpointSetState {

	private static final int MAX_HISTOGRAMS = 8_192;

	private static final double DEFAULT_ANSWER_TOKENS = 200;

	private static final double MAX_OWED_TOKENS = 2_000;

	/** The most tokens by which the low tier may exceed its share. */
	private static final double MAX_ADVANCE_TOKENS = 600;

	private static final double FIRST_TOKEN_QUANTILE = 0.9;

	private static final double DURATION_QUANTILE = 0.5;

	private static final double TIER_MIX_GAIN = 0.03;

	private static final int ISOLATION_DIVISOR = 6;

	/** An endpoint counts as idle while at most one in this many slots is occupied. */
	private static final int IDLE_DIVISOR = 4;

	private static final double IDLE_RELAXATION = 0.02;

	final String name;

	final List<EndpointView> endpoints = new ArrayList<>();

	final Map<String, PolicyQueue> queues = new LinkedHashMap<>();

	EndpointSet definition;

	/** Limits the requests sent beyond the slots. */
	final OvercommitWindow overcommitWindow = new OvercommitWindow();

	int activeAttempts;

	int guaranteedAttempts;

	int nextQueue;

	private final Map<String, DecayingHistogram> answerTokens = new HashMap<>();

	private final Map<String, DecayingHistogram> durations = new HashMap<>();

	private final Map<String, DecayingHistogram> firstTokenTimes = new HashMap<>();

	private final List<EndpointView> isolationEndpoints = new ArrayList<>();

	private final long[] lowerLanesBlockedUntil = new long[PolicyQueue.LANE_COUNT];

	private long isolationSince;

	private final MovingAverage lowerTierShare = new MovingAverage(TIER_MIX_GAIN);

	private double owedTokens;

	private double medianTokenGap;

	EndpointSetState(EndpointSet definition) {
		this.name = definition.name();
		this.definition = definition;
	}

	int waitingCount() {
		int count = 0;
		for (PolicyQueue queue : this.queues.values()) {
			count += queue.size();
		}
		return count;
	}

	boolean hasEndpointInService() {
		return this.endpoints.stream().anyMatch(EndpointView::isInService);
	}

	boolean canResume() {
		return this.definition.resumable() || this.definition.deterministic();
	}

	// Learned statistics

	void recordAnswerLength(PendingRequest pending) {
		String requestClass = pending.info.requestClass();
		histogram(this.answerTokens, requestClass).record(pending.deliveredTokens);
		if (this.answerTokens.size() < MAX_HISTOGRAMS) {
			histogram(this.answerTokens, customerKey(pending)).record(pending.deliveredTokens);
		}
	}

	void recordDuration(ActiveAttempt attempt, long now) {
		histogram(this.durations, attempt.pending.info.requestClass()).record((now - attempt.sentAt) / 1e6);
	}

	void recordFirstTokenTime(PendingRequest pending, long nanos) {
		histogram(this.firstTokenTimes, pending.info.requestClass()).record(nanos / 1e6);
	}

	double expectedTokens(PendingRequest pending) {
		DecayingHistogram own = this.answerTokens.get(customerKey(pending));
		if (own != null && own.hasEnoughSamples()) {
			return own.mean(DEFAULT_ANSWER_TOKENS);
		}
		DecayingHistogram all = this.answerTokens.get(pending.info.requestClass());
		return (all != null) ? all.mean(DEFAULT_ANSWER_TOKENS) : DEFAULT_ANSWER_TOKENS;
	}

	// Returns the mean duration of an attempt of a class in nanoseconds, 0 if unknown.
	double meanDuration(String requestClass) {
		DecayingHistogram histogram = this.durations.get(requestClass);
		return (histogram != null) ? histogram.mean(0) * 1e6 : 0;
	}

	// Returns the shortest plausible time from dispatch to the target event in
	// nanoseconds: with less time left, the target is out of reach.
	long minServiceTime(PendingRequest pending) {
		if (pending.isFirstTokenTarget()) {
			DecayingHistogram first = this.firstTokenTimes.get(pending.info.requestClass());
			return (first != null) ? (long) (first.quantile(FIRST_TOKEN_QUANTILE, 0) * 1e6) : 0;
		}
		DecayingHistogram histogram = this.durations.get(pending.info.requestClass());
		return (histogram != null) ? (long) (histogram.quantile(DURATION_QUANTILE, 0) * 1e6) : 0;
	}

	// Returns the minimum service time to use for refusals, which is 0 while an endpoint
	// is idle. Times observed under load or during a fault say little about an idle
	// endpoint, and refused requests yield no new samples: a fault that delayed all
	// responses would otherwise cause every later request to be refused, permanently. A
	// request sent to an idle endpoint acts as a probe that corrects the estimate.
	long minServiceTime(PendingRequest pending, PolicySettings settings, int entryCount, long now) {
		return (hasIdleEndpoint(settings, entryCount, now)) ? 0 : minServiceTime(pending);
	}

	private boolean hasIdleEndpoint(PolicySettings settings, int entryCount, long now) {
		for (EndpointView endpoint : this.endpoints) {
			if (endpoint.acceptsRequests(now) && !endpoint.reservedForIsolation
					&& endpoint.occupancy(settings, entryCount, now) * IDLE_DIVISOR <= endpoint.usableSlots()) {
				return true;
			}
		}
		return false;
	}

	private static String customerKey(PendingRequest pending) {
		return pending.flow;
	}

	private static DecayingHistogram histogram(Map<String, DecayingHistogram> histograms, String key) {
		return histograms.computeIfAbsent(key, (k) -> new DecayingHistogram());
	}

	// Guaranteed share of the low tier

	// Updates the token balance: tokens of every tier add the low tier's share to it,
	// tokens of the low tier are deducted.
	void accountTokens(boolean lowTier, int count, double share) {
		this.owedTokens += share * count - ((lowTier) ? count : 0);
		this.owedTokens = Math.max(-MAX_ADVANCE_TOKENS, Math.min(MAX_OWED_TOKENS, this.owedTokens));
	}

	// Returns whether the low tier has received less than its share and may start an
	// attempt that cannot be preempted. The number of such attempts is limited to one or
	// the low tier's share of the active attempts, whichever is more, which bounds the
	// capacity lost to the upper tiers at any moment.
	boolean isLowTierOwed(double share) {
		return this.owedTokens > 0 && this.guaranteedAttempts < Math.max(1, (int) (share * this.activeAttempts));
	}

	// Stragglers

	// Compares each endpoint with the median of its peers. The average of an endpoint
	// without attempts moves back to the median, so that it is used again.
	void updateSlowdowns(double stragglerFactor) {
		double[] gaps = this.endpoints.stream()
			.filter((endpoint) -> endpoint.tokenGap.isInitialized())
			.mapToDouble((endpoint) -> endpoint.tokenGap.get(0))
			.sorted()
			.toArray();
		if (gaps.length < 3) {
			this.endpoints.forEach((endpoint) -> endpoint.slowdown = 1);
			return;
		}
		this.medianTokenGap = gaps[(gaps.length - 1) / 2];
		for (EndpointView endpoint : this.endpoints) {
			if (endpoint.attempts.isEmpty() && endpoint.tokenGap.isInitialized()) {
				endpoint.tokenGap.relaxTowards(this.medianTokenGap, IDLE_RELAXATION);
			}
			double ratio = endpoint.tokenGap.get(this.medianTokenGap) / this.medianTokenGap;
			endpoint.slowdown = (ratio > stragglerFactor) ? ratio : 1;
		}
	}

	// Tier mix

	// Learns the share of lower tiers among this VM's attempts. Traffic is distributed
	// randomly over the VMs, so that the share is about the same on the others.
	void updateTierMix() {
		int lower = 0;
		int all = 0;
		for (EndpointView endpoint : this.endpoints) {
			all += endpoint.attempts.size();
			for (ActiveAttempt attempt : endpoint.attempts) {
				lower += (attempt.pending.requestClass.tier() != Tier.HIGH && !attempt.guaranteed) ? 1 : 0;
			}
		}
		if (all > 0) {
			this.lowerTierShare.update(lower / (double) all);
		}
	}

	// Returns the estimated number of slots held by lower tiers of any VM, based on this
	// VM's own tier mix.
	double lowerTierSlots() {
		int slots = 0;
		for (EndpointView endpoint : this.endpoints) {
			slots += (endpoint.isHealthy()) ? endpoint.usableSlots() : 0;
		}
		return this.lowerTierShare.get(1) * slots;
	}

	// Isolation of suspect content

	// Reserves endpoints for suspect content, or releases them: a sixth of the healthy
	// endpoints, the last ones by name, so that all VMs reserve the same ones without
	// communicating. Returns whether isolation is active.
	boolean updateIsolation(boolean suspected, long now) {
		boolean active = suspected || hasIsolatedWaiting();
		if (!active && this.isolationEndpoints.isEmpty()) {
			return false;
		}
		this.isolationSince = (this.isolationEndpoints.isEmpty()) ? now : this.isolationSince;
		this.isolationEndpoints.forEach((endpoint) -> endpoint.reservedForIsolation = false);
		this.isolationEndpoints.clear();
		if (active) {
			this.endpoints.stream().filter(EndpointView::isHealthy).forEach(this.isolationEndpoints::add);
			int reservedCount = Math.max(1, this.isolationEndpoints.size() / ISOLATION_DIVISOR);
			this.isolationEndpoints.subList(0, Math.max(0, this.isolationEndpoints.size() - reservedCount)).clear();
			boolean others = this.endpoints.size() > 1;
			this.isolationEndpoints.forEach((endpoint) -> endpoint.reservedForIsolation = others);
		}
		return active;
	}

	private boolean hasIsolatedWaiting() {
		for (PolicyQueue queue : this.queues.values()) {
			for (int lane = 0; lane < PolicyQueue.LANE_COUNT; lane++) {
				for (PendingRequest pending : queue.requeued(lane)) {
					if (pending.isolated) {
						return true;
					}
				}
			}
		}
		return false;
	}

	long isolationSince() {
		return this.isolationSince;
	}

	// Lanes blocked after a refusal

	// Blocks the lanes below after a refusal: if the estimate was too pessimistic, the
	// capacity must not go to a lower tier instead of the refused request.
	void blockLanesBelow(int lane, long until) {
		this.lowerLanesBlockedUntil[lane] = Math.max(this.lowerLanesBlockedUntil[lane], until);
	}

	// Returns whether a lane must wait because a request of a higher lane was refused
	// recently.
	boolean isLaneBlocked(int lane, long now) {
		for (int upper = 0; upper < lane; upper++) {
			if (now < this.lowerLanesBlockedUntil[upper]) {
				return true;
			}
		}
		return false;
	}

	List<EndpointView> isolationEndpoints() {
		return this.isolationEndpoints;
	}

}
