package org.acaciacourse.core.balance;

import java.time.Duration;
import java.util.Map;
import java.util.OptionalLong;

import org.acaciacourse.core.admission.AdmissionDecision;
import org.acaciacourse.core.admission.AdmissionReason;
import org.acaciacourse.core.admission.Demand;
import org.acaciacourse.core.admission.ServiceEstimate;
import org.acaciacourse.core.route.FleetEndpoint;

/**
 * Decides whether a request is sent to an endpoint of a pool or refused because none
 * would serve it while its caller waits. Invariants: a request that was refused was sent
 * nowhere; nothing is refused while a usable endpoint has a free slot and nothing waits
 * there, or while no more than half of the slots of the usable endpoints are taken.
 * <p>
 * What other entry VMs have at the endpoints is known from their digests. A VM that has
 * just started and has none yet takes them to have as much as it has itself: after a loss
 * of power all of them start at the same time.
 * <p>
 * Not thread safe: belongs to one {@link PoolBalancer}.
 */
public final class PoolAdmission {

	private static final double NANOS_PER_MILLI = 1e6;

	/**
	 * Deferred work is known of this VM only. Less of it for each endpoint than half a
	 * prompt may wait anywhere.
	 */
	private static final double FEW_DEFERRED_WORK = 5_000;

	/**
	 * Some time is left for deferred requests even in an overload: bursts have pauses.
	 */
	private static final double MAX_OVERTAKING = 0.7;

	private final Map<String, EndpointLoad> loads;

	private final PeerLoads peers;

	private final PrefillRate prefillRate;

	private final Usability usability;

	private final ServiceEstimate service = new ServiceEstimate();

	private int entryVms = 1;

	private boolean used;

	private long firstUsedAt;

	PoolAdmission(Map<String, EndpointLoad> loads, PeerLoads peers, PrefillRate prefillRate, Usability usability) {
		this.loads = loads;
		this.peers = peers;
		this.prefillRate = prefillRate;
		this.usability = usability;
	}

	/**
	 * Set the number of entry VMs, as control reports it.
	 * @param vms the number, this VM included
	 */
	public void entryVms(int vms) {
		this.entryVms = Math.max(1, vms);
	}

	/**
	 * Decide about a request that no endpoint has run.
	 * @param chosen the endpoint that was chosen for it, still in the pool
	 * @param request the request
	 * @param demand what it asks for
	 * @param now the time
	 * @return the decision
	 */
	public AdmissionDecision decide(FleetEndpoint chosen, Placement request, Demand demand, long now) {
		Others others = others(now);
		Candidate preferred = new Candidate(request, demand, others, now);
		preferred.consider(this.loads.get(chosen.instance()));
		if (!preferred.isKnown()) {
			return AdmissionDecision.unknown(chosen);
		}
		return (preferred.isInTime()) ? preferred.decision(AdmissionReason.IN_TIME, Duration.ZERO)
				: decideAmongAll(preferred, request, demand, others, now);
	}

	// Another endpoint is taken only if the request costs no more work there. Prefilling
	// shared parts again delays all that wait, and in an overload endpoints would do
	// little else: in the load test, a fifth of the answers were no longer on time.
	private AdmissionDecision decideAmongAll(Candidate preferred, Placement request, Demand demand, Others others,
			long now) {
		Candidate equal = new Candidate(request, demand, others, now);
		Candidate all = new Candidate(request, demand, others, now);
		boolean idle = false;
		for (EndpointLoad load : this.loads.values()) {
			if (this.usability.isUsable(load, request, now)) {
				long own = all.consider(load);
				if (own <= preferred.ownWork) {
					equal.consider(load);
				}
				idle |= isIdle(load, demand, others, now);
			}
		}
		if (equal.isInTime()) {
			return equal.decision(AdmissionReason.ELSEWHERE, Duration.ZERO);
		}
		preferred.countsOf(all);
		if (idle) {
			return preferred.decision(AdmissionReason.FREE_SLOT, Duration.ZERO);
		}
		if (all.running <= all.slots / 2) {
			return preferred.decision(AdmissionReason.HALF_EMPTY, Duration.ZERO);
		}
		return all.decision(AdmissionReason.TOO_LATE, all.bookReturn());
	}

	private boolean isIdle(EndpointLoad load, Demand demand, Others others, long now) {
		boolean waiting = (demand.stream())
				? load.waitingWork() + others.unknownWork() > 0
						|| Math.max(load.deferredWork(), others.deferredWork()) > FEW_DEFERRED_WORK
				: load.waiting(now) > 0;
		return !waiting && load.running(now) < load.endpoint().slots();
	}

	/**
	 * Return when the caller of a request that no endpoint takes is to retry.
	 * @param request the request
	 * @param demand what it asks for
	 * @param now the time
	 * @return the delay until the work in front of its rank has drained
	 */
	public Duration retryDelay(Placement request, Demand demand, long now) {
		Candidate first = new Candidate(request, demand, others(now), now);
		for (EndpointLoad load : this.loads.values()) {
			if (!load.endpoint().leaving() && request.isServedBy(load.endpoint())) {
				first.consider(load);
			}
		}
		return first.bookReturn();
	}

	/**
	 * Record that a request is sent.
	 * @param placed the request at its endpoint
	 * @param demand what it asks for
	 * @param now the time
	 */
	public void sent(PlacedRequest placed, Demand demand, long now) {
		Others others = others(now);
		boolean deferred = placed.queuePosition() == QueuePosition.DEFERRED;
		EndpointLoad load = placed.load();
		long waiting = Math.max(0, load.waitingWork() - ((deferred) ? 0 : placed.work()));
		long ownDeferred = load.deferredWork() - ((deferred) ? placed.work() : 0);
		int running = Math.max(0, load.running(now) - 1);
		double work = workUntilFirstEvent(demand, deferred, waiting, ownDeferred, placed.work(), others, now);
		OptionalLong estimate = estimate(load, demand, work, running, now);
		double rounds = ServiceEstimate.rounds(running, load.endpoint().slots());
		placed.observedBy(this.service.sent(demand, deferred, placed.work(), estimate.orElse(-1), rounds, now));
	}

	private double workUntilFirstEvent(Demand demand, boolean deferred, long waiting, long ownDeferred, long own,
			Others others, long now) {
		double work = this.service.workUntilFirstEvent(demand, deferred, waiting + others.untoldWork(),
				Math.max(ownDeferred, others.deferredWork()), own, now);
		return (deferred) ? work / (1 - others.overtaking()) : work;
	}

	private OptionalLong estimate(EndpointLoad load, Demand demand, double work, int running, long now) {
		int slots = load.endpoint().slots();
		if (!demand.stream()) {
			return this.service.plainAnswer(running, slots, now);
		}
		long prefill = (long) (work / tokensPerMilli(load, now) * NANOS_PER_MILLI);
		return OptionalLong.of(Math.max(prefill, this.service.slotWait(running, slots, now)));
	}

	// The rate of the pool is that of an endpoint of median speed.
	private double tokensPerMilli(EndpointLoad load, long now) {
		return load.speed().learned() * this.prefillRate.tokensPerMilli(this.service.prefillWeight(now));
	}

	private Others others(long now) {
		if (!this.used) {
			this.used = true;
			this.firstUsedAt = now;
		}
		int endpoints = Math.max(1, this.loads.size());
		int told = (this.peers.hasReports()) ? this.peers.peerCount() : 0;
		// A VM without load sends no digests, so that later a silent one has none.
		boolean justStarted = now - this.firstUsedAt < PeerLoads.EXPIRY_NANOS;
		int unknown = (justStarted) ? Math.max(0, this.entryVms - 1 - told) : 0;
		int vms = 1 + told + unknown;
		double rate = this.prefillRate.tokensPerMilli(this.service.prefillWeight(now)) / NANOS_PER_MILLI;
		double age = this.peers.intervalNanos() / 2;
		double untoldWork = Math.max(0, this.service.recentRate(now) * told / endpoints - rate) * age;
		double unknownWork = (double) this.service.waitingWork() * unknown / endpoints;
		double overtaking = this.service.overtakingRate(now) * vms / endpoints / rate;
		return new Others(vms, unknown, untoldWork + unknownWork, unknownWork,
				(double) this.service.deferredWork() * vms / endpoints, Math.min(MAX_OVERTAKING, overtaking));
	}

	/** Tells whether an endpoint may get a request. */
	interface Usability {

		boolean isUsable(EndpointLoad load, Placement request, long now);

	}

	/**
	 * What the other entry VMs are taken to have at each endpoint beyond what they told.
	 *
	 * @param vms the entry VMs with load, this one included
	 * @param unknownVms those of them of which nothing is known
	 * @param untoldWork work that waits
	 * @param unknownWork that part of it from VMs of which nothing is known
	 * @param deferredWork work of the deferred requests of all VMs
	 * @param overtaking the part of the time that endpoints take for the requests that
	 * overtake deferred ones
	 */
	private record Others(int vms, int unknownVms, double untoldWork, double unknownWork, double deferredWork,
			double overtaking) {
	}

	/** The endpoint that serves a request first of those that were considered. */
	private final class Candidate {

		private final Placement request;

		private final Demand demand;

		private final Others others;

		private final long now;

		private EndpointLoad best;

		private long estimate;

		private long needed = Long.MAX_VALUE;

		private double work;

		private long ownWork;

		private boolean deferred;

		private int running;

		private int slots;

		private Candidate(Placement request, Demand demand, Others others, long now) {
			this.request = request;
			this.demand = demand;
			this.others = others;
			this.now = now;
		}

		private void countsOf(Candidate other) {
			this.running = other.running;
			this.slots = other.slots;
		}

		// Returns the work of the request there.
		private long consider(EndpointLoad load) {
			this.running += load.running(this.now) + load.inFlight() * this.others.unknownVms();
			this.slots += load.endpoint().slots();
			long own = workAt(load);
			long medianWork = Math.round((load.waitingWork() + own) / load.speed().learned());
			boolean late = this.demand.deferrable()
					&& PoolAdmission.this.prefillRate.estimateNanos(medianWork) > this.demand.targetNanos();
			double until = workUntilFirstEvent(this.demand, late, load.waitingWork(), load.deferredWork(), own,
					this.others, this.now);
			OptionalLong time = estimate(load, this.demand, until, load.running(this.now), this.now);
			if (time.isEmpty()) {
				return own;
			}
			long most = PoolAdmission.this.service.needed(this.demand, late, time.getAsLong(), this.now);
			if (this.best == null || isBefore(most, load)) {
				this.best = load;
				this.estimate = time.getAsLong();
				this.needed = most;
				this.work = until;
				this.ownWork = own;
				this.deferred = late;
			}
			return own;
		}

		// All entry VMs see much the same figures: equal endpoints are taken by hash.
		private boolean isBefore(long most, EndpointLoad load) {
			return most < this.needed || (most == this.needed
					&& (load.hash() ^ this.request.salt()) < (this.best.hash() ^ this.request.salt()));
		}

		private long workAt(EndpointLoad load) {
			return this.request.shape().work(load.prefixCache().cachedTokens(this.request.shape()));
		}

		private boolean isKnown() {
			return this.best != null;
		}

		private boolean isInTime() {
			return this.best != null && this.needed <= this.demand.remainingNanos();
		}

		private AdmissionDecision decision(AdmissionReason reason, Duration retryAfter) {
			return new AdmissionDecision(reason, this.best.endpoint(), this.estimate, this.needed,
					this.demand.remainingNanos(),
					PoolAdmission.this.service.margin(this.demand, this.deferred, this.now), (long) this.work,
					this.running, this.slots, retryAfter);
		}

		private Duration bookReturn() {
			ServiceEstimate service = PoolAdmission.this.service;
			if (this.best == null) {
				return service.bookReturn(this.demand, 0, 0, this.now);
			}
			long alone = estimate(this.best, this.demand, this.ownWork, 0, this.now).orElse(0);
			long front = this.estimate - alone;
			double servers = (this.demand.stream()) ? PoolAdmission.this.loads.size() : this.slots;
			return service.bookReturn(this.demand, front, (long) (alone * this.others.vms() / servers), this.now);
		}

	}

}
