package org.acaciacourse.core.balance;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.function.Predicate;

import org.acaciacourse.core.route.FleetEndpoint;
import org.acaciacourse.core.share.PoolLoad;
import org.acaciacourse.core.speed.PoolSpeeds;

/**
 * Chooses endpoints of one pool. The cost of an endpoint is the estimated wait of a
 * request there, in prompt tokens: the prompts that are not prefilled yet, the requests
 * that run there, and the shared parts of the prompt if the endpoint does not have them
 * in its cache. The cache contents are derived from the requests of all entry VMs
 * ({@link PrefixCacheModel}). A part that no endpoint has goes to its home by rendezvous
 * hashing (Thaler and Ravishankar, 1998), so that all entry VMs send it to the same
 * endpoint without coordination. Other endpoints get it only when the queues of its homes
 * cost more than prefilling it again.
 * <p>
 * Not thread safe: belongs to one event loop.
 */
public final class PoolBalancer {

	private final Map<String, EndpointLoad> loads = new HashMap<>();

	/** By the ids in digests, of which one arrives for every few requests. */
	private final Map<Integer, EndpointLoad> byId = new HashMap<>();

	private final PeerLoads peers;

	private final Predicate<String> connected;

	private final RefusalLimit refusalLimit;

	private final RateLimits rateLimits;

	private final EndpointRests rests;

	private final PoolTotals totals;

	private ConnectionShare connectionShare = ConnectionShare.UNLIMITED;

	private long engineCacheTokens;

	private RoutingPolicy policy = RoutingPolicy.DEFAULT;

	private PlacementCost cost = new PlacementCost(this.policy);

	private final BriefEngines briefEngines = new BriefEngines();

	private final MixingCost mixingCost = new MixingCost(this.briefEngines);

	private final PrefillRate prefillRate = new PrefillRate();

	private final CandidateSampler briefSampler;

	private final CandidateSampler otherSampler;

	private final UnreportedUses unreportedUses = new UnreportedUses();

	private final PoolSpeeds speeds;

	private final PoolAdmission admission;

	/**
	 * Make a balancer.
	 * @param peers the load of the other entry VMs
	 * @param connected tells whether there is an idle connection to an instance
	 */
	public PoolBalancer(PeerLoads peers, Predicate<String> connected) {
		this(peers, RateLimits.ofSingleVm(), new EndpointRests(""), connected);
	}

	/**
	 * Make a balancer of a VM with several pools.
	 * @param peers the load of the other entry VMs
	 * @param rateLimits the limits that endpoints state
	 * @param rests the rests that endpoints ask for
	 * @param connected tells whether there is an idle connection to an instance
	 */
	public PoolBalancer(PeerLoads peers, RateLimits rateLimits, EndpointRests rests, Predicate<String> connected) {
		this.peers = peers;
		this.rateLimits = rateLimits;
		this.rests = rests;
		this.connected = connected;
		this.totals = new PoolTotals(this.loads, peers, rateLimits, rests);
		this.refusalLimit = new RefusalLimit(peers);
		this.briefSampler = new CandidateSampler(peers);
		this.otherSampler = new CandidateSampler(peers);
		this.speeds = new PoolSpeeds(peers.speeds());
		this.admission = new PoolAdmission(this.loads, peers, this.prefillRate, this::isUsable);
	}

	/**
	 * Set the policy.
	 * @param next the policy
	 */
	public void policy(RoutingPolicy next) {
		this.policy = next;
		this.cost = new PlacementCost(next);
		this.mixingCost.policy(next, this.cost);
		this.briefEngines.policy(next, this.loads.values());
		this.speeds.switchedOn((paceStated) -> next.isOn(OptionalMechanism.ENDPOINT_SPEED, paceStated));
	}

	/**
	 * Return the load of this VM.
	 * @return the load at each endpoint that has any
	 */
	public List<PeerLoads.Load> localLoads() {
		return this.loads.values().stream().filter((load) -> load.inFlight() > 0).map(EndpointLoad::localLoad).toList();
	}

	/**
	 * Set the cache capacity of the pool's engines.
	 * @param capacity the tokens that each engine can hold
	 */
	public void engineCacheTokens(long capacity) {
		this.engineCacheTokens = capacity;
		this.loads.values().forEach((load) -> load.prefixCache().engineCacheTokens(capacity));
	}

	/**
	 * Set the shortest gap between events that a route of the pool aims for.
	 * @param millis the gap
	 */
	public void shortestGap(long millis) {
		this.mixingCost.shortestGap(millis);
	}

	/**
	 * Set the endpoints of the pool.
	 * @param endpoints the endpoints
	 */
	public void endpoints(List<FleetEndpoint> endpoints) {
		Map<String, FleetEndpoint> next = new HashMap<>();
		endpoints.forEach((endpoint) -> next.put(endpoint.instance(), endpoint));
		this.loads.keySet().retainAll(next.keySet());
		next.forEach((instance, endpoint) -> {
			EndpointLoad load = this.loads.get(instance);
			if (load != null && load.endpoint().run().equals(endpoint.run())) {
				load.update(endpoint);
			}
			else {
				Optional.ofNullable(load).ifPresent(EndpointLoad::runEnded);
				this.loads.put(instance, newLoad(endpoint));
			}
		});
		this.byId.clear();
		this.loads.values().forEach((load) -> this.byId.put(load.id(), load));
		this.speeds.retain(this.byId.keySet());
		this.briefEngines.divide(this.loads.values());
	}

	private EndpointLoad newLoad(FleetEndpoint endpoint) {
		EndpointLoad load = new EndpointLoad(endpoint, this.peers, this.refusalLimit, this.rateLimits, this.rests,
				this.speeds);
		if (this.engineCacheTokens > 0) {
			load.prefixCache().engineCacheTokens(this.engineCacheTokens);
		}
		return load;
	}

	/**
	 * Bound the concurrent requests of this VM at one endpoint, each of which takes a
	 * connection.
	 * @param next the connections that it may use
	 */
	public void connectionShare(ConnectionShare next) {
		this.connectionShare = next;
	}

	/**
	 * Set the number of entry VMs.
	 * @param vms the number, this VM included
	 */
	public void entryVms(int vms) {
		this.admission.entryVms(vms);
	}

	/**
	 * Choose an endpoint.
	 * @param request the request to place
	 * @param now the time
	 * @return the endpoint, or nothing if none may get the request now
	 */
	public Optional<FleetEndpoint> choose(Placement request, long now) {
		this.speeds.update(now);
		this.briefEngines.update(now);
		List<EndpointLoad> usable = usableEndpoints(request, now);
		HomeEndpoints homes = homes(request, usable);
		CandidateDraw draw = new CandidateDraw(usable, this.briefEngines, isDivisionApplied(request),
				this.speeds.isInUse(), sampleShare(request, now), request.salt(), now);
		long shared = request.shape().sharedTokens();
		EndpointLoad best = null;
		double bestCost = Double.MAX_VALUE;
		for (EndpointLoad load : usable) {
			boolean drawn = draw.isNextDrawn(load, now);
			long cached = load.prefixCache().cachedTokens(request.shape());
			boolean alwaysCompared = cached == shared || homes.contains(load);
			// Few endpoints have the shared parts in their cache, so these are always
			// compared.
			if (drawn || (alwaysCompared && shared > 0)) {
				double cost = cost(load, request, cached, homes.role(load, cached == shared), now);
				if (cost < bestCost) {
					best = load;
					bestCost = cost;
				}
			}
		}
		return Optional.ofNullable(best).map(EndpointLoad::endpoint);
	}

	private List<EndpointLoad> usableEndpoints(Placement request, long now) {
		List<EndpointLoad> usable = new ArrayList<>(this.loads.size());
		for (EndpointLoad load : this.loads.values()) {
			if (isUsable(load, request, now)) {
				usable.add(load);
			}
		}
		return usable;
	}

	private double sampleShare(Placement request, long now) {
		return (this.policy.isOn(RoutingMechanism.SAMPLED_CHOICE))
				? samplerFor(request).share(this.policy.value(RoutingParameter.UNTOLD_REQUESTS), now) : 1;
	}

	// Brief and other requests use different endpoints, so each kind counts only its own
	// unreported requests.
	private CandidateSampler samplerFor(Placement request) {
		return (request.brief()) ? this.briefSampler : this.otherSampler;
	}

	private double cost(EndpointLoad load, Placement request, long cached, HomeRole role, long now) {
		double sum = this.cost.of(load, request, cached, role, now);
		if (isDivisionApplied(request)) {
			sum += this.mixingCost.of(load, request, cached);
		}
		if (!this.connected.test(load.endpoint().instance())) {
			sum += this.cost.connectionCost();
		}
		return sum;
	}

	private boolean isDivisionApplied(Placement request) {
		return this.briefEngines.isDivided() && request.shape().promptTokens() > 0;
	}

	private HomeEndpoints homes(Placement request, List<EndpointLoad> usable) {
		PromptShape shape = request.shape();
		if (shape.sharedId() == 0 || !request.affinity() || request.brief()
				|| !this.policy.isOn(RoutingMechanism.HOME_OF_PARTS)) {
			return HomeEndpoints.NONE;
		}
		HomeEndpoints homes = HomeEndpoints.of(shape, usable, (load) -> !this.briefEngines.contains(load));
		double factor = this.policy
			.value((homes.cached()) ? RoutingParameter.SECOND_FACTOR : RoutingParameter.NEW_PART_FACTOR);
		boolean useSecondary = this.policy.isOn(RoutingMechanism.SECOND_HOME)
				&& homes.queueDifference() > factor * shape.work(0);
		return (useSecondary) ? homes : homes.withoutSecondary();
	}

	/**
	 * Return whether no endpoint is left for a request, so that waiting for one is
	 * useless.
	 * @param request the request
	 * @return whether there are staying endpoints and none of them can serve it: all were
	 * tried or are of another version
	 */
	public boolean isExhausted(Placement request) {
		return this.totals.isExhausted(request);
	}

	/**
	 * Return how long all endpoints that can serve a request rest.
	 * @param request the request
	 * @param now the time
	 * @return the time until the first rest ends, zero if an endpoint does not rest or
	 * none can serve the request
	 */
	public Duration restOfAll(Placement request, long now) {
		return this.totals.restOfAll(request, now);
	}

	private boolean isUsable(EndpointLoad load, Placement request, long now) {
		boolean paused = (load.isPaused(now) || !load.hasRoom(now)) && this.policy.isOn(RoutingMechanism.PAUSES);
		return !load.endpoint().leaving() && !load.isResting(now) && !paused
				&& load.hasConnectionLeft(this.connectionShare) && this.rateLimits.maySend(load.id(), now)
				&& request.isServedBy(load.endpoint()) && (!request.freeSlotOnly() || load.hasFreeSlot(now));
	}

	/**
	 * Record that a request is sent.
	 * @param instance the endpoint that was chosen, still in the pool
	 * @param request the request
	 * @param queuePosition its position in the queue of the endpoint
	 * @param now the time
	 * @return the request there
	 */
	public PlacedRequest begin(String instance, Placement request, QueuePosition queuePosition, long now) {
		samplerFor(request).requestSent(now);
		EndpointLoad load = find(instance).orElseThrow();
		load.requestSent(now);
		PlacedRequest placed = new PlacedRequest(load, this.prefillRate, request, queuePosition, now);
		request.shape().sharedParts().forEach((part) -> {
			load.prefixCache().recordUse(part);
			if (this.policy.isOn(RoutingMechanism.PARTS_TOLD)) {
				this.unreportedUses.add(new PartUse(load.id(), part));
			}
		});
		return placed;
	}

	/**
	 * Record a use of a prompt part that another entry VM reported.
	 * @param use the use
	 */
	public void recordPeerUse(PartUse use) {
		EndpointLoad load = this.byId.get(use.endpoint());
		if (load != null) {
			load.prefixCache().recordUse(use.part());
		}
	}

	/**
	 * Remove and return the uses of prompt parts that are not yet reported to the other
	 * entry VMs.
	 * @return the uses since the last call
	 */
	public List<PartUse> drainUnreportedUses() {
		return this.unreportedUses.drain();
	}

	/**
	 * Return whether a prompt would be prefilled too late at an endpoint.
	 * @param instance its instance
	 * @param shape the prompt
	 * @param remaining nanoseconds until the first event is due
	 * @return whether the work that is known to wait there takes longer
	 */
	public boolean isLate(String instance, PromptShape shape, long remaining) {
		if (!this.policy.isOn(RoutingMechanism.DEFERRAL)) {
			return false;
		}
		return find(instance).map((load) -> {
			long work = load.waitingWork() + shape.work(load.prefixCache().cachedTokens(shape));
			return this.prefillRate.estimateNanos(Math.round(work / load.speed().learned())) > remaining;
		}).orElse(false);
	}

	/**
	 * Return what decides whether requests can be served while their callers wait.
	 * @param now the time
	 * @return the decisions, empty where the mechanism is not in use
	 */
	public Optional<PoolAdmission> admission(long now) {
		return Optional.of(this.admission)
			.filter((one) -> this.policy.isOn(OptionalMechanism.ADMISSION, isPaceStated(now)));
	}

	/**
	 * Return how many refusals within a second an endpoint endures, for the log.
	 * @param now the time
	 * @return the number, if the endpoints state a limit now
	 */
	public OptionalInt refusalLimit(long now) {
		return this.refusalLimit.current(now);
	}

	/**
	 * Return how the pool is divided, for the log.
	 * @return the division, if there are enough endpoints
	 */
	public Optional<Division> division() {
		return Optional.of(this.briefEngines.division()).filter((told) -> told.engines() > 0);
	}

	/**
	 * Return how many requests per second this VM may send if all endpoints state limits.
	 * @param now the time
	 * @return the sum of its shares, empty if an endpoint takes as many as it can run
	 */
	public OptionalDouble permittedRate(long now) {
		return this.totals.permittedRate(now);
	}

	/**
	 * Return the load of the pool, as far as it tells a shortage.
	 * @param target the shortest target of the pool's routes
	 * @param now the time
	 * @return the load of the endpoints that get requests now
	 */
	public PoolLoad poolLoad(Duration target, long now) {
		return this.totals.load((this.engineCacheTokens > 0) ? this.prefillRate.workIn(target.toNanos()) : 0, now);
	}

	/**
	 * Return whether endpoints of the pool state how long work takes on their machines.
	 * @param now the time
	 * @return whether one has in the last ten minutes
	 */
	public boolean isPaceStated(long now) {
		return this.speeds.isPaceStated(now);
	}

	/**
	 * Return the speeds of the endpoints, for estimates, the log and the metrics.
	 * @return the speeds
	 */
	public PoolSpeeds speeds() {
		return this.speeds;
	}

	private Optional<EndpointLoad> find(String instance) {
		return Optional.ofNullable(this.loads.get(instance));
	}

}
