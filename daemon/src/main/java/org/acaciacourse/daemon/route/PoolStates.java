package org.acaciacourse.daemon.route;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import io.netty.channel.EventLoop;
import org.acaciacourse.core.balance.ConnectionShare;
import org.acaciacourse.core.balance.EndpointRests;
import org.acaciacourse.core.balance.PartUse;
import org.acaciacourse.core.balance.PeerLoads;
import org.acaciacourse.core.balance.PoolBalancer;
import org.acaciacourse.core.balance.RateLimits;
import org.acaciacourse.core.balance.RetryAllowance;
import org.acaciacourse.core.balance.RoutingPolicy;
import org.acaciacourse.core.balance.SharerCount;
import org.acaciacourse.core.balance.StallDetector;
import org.acaciacourse.core.route.Fleet;
import org.acaciacourse.core.route.FleetEndpoint;
import org.acaciacourse.core.route.Pool;
import org.acaciacourse.core.route.RouteTable;
import org.acaciacourse.core.stream.PoolVersions;

/**
 * The state of each pool on an entry VM. The state outlives the manifest that declared
 * the pool, so that a spent budget is not full again after a change and its reversal.
 * <p>
 * Not thread safe: belongs to the event loop.
 */
final class PoolStates {

	private final EventLoop loop;

	private final RetryBudgetOptions retryBudget;

	private final Predicate<String> hasIdleConnection;

	private final Map<String, State> states = new HashMap<>();

	private final PeerLoads peers = new PeerLoads();

	private final RateLimits rateLimits;

	private final EndpointRests rests;

	private final PoolVersions versions = new PoolVersions();

	private final RateLimitLog rateLimitLog = new RateLimitLog();

	private final ListedEndpoints listed;

	private final ShareStates shares = new ShareStates(this);

	private Map<String, FleetEndpoint> endpoints = Map.of();

	/** The instances by their ids in digests. */
	private Map<Integer, String> instances = Map.of();

	private List<Pool> declaredPools = List.of();

	private final long startedAt = System.nanoTime();

	private final SharerCount sharerCount = new SharerCount();

	private final StallDetector stallDetector = new StallDetector(this.startedAt, System.currentTimeMillis());

	private long countedAt = this.startedAt;

	private OptionalInt sharers = OptionalInt.empty();

	private long tableNumber;

	private RoutingPolicy policy = RoutingPolicy.DEFAULT;

	/**
	 * Create the states.
	 * @param loop the event loop
	 * @param retryBudget the retry budget
	 * @param rateLimits the limits that endpoints state
	 * @param rests the rests that endpoints ask for
	 * @param hasIdleConnection returns whether there is an idle connection to an instance
	 */
	PoolStates(EventLoop loop, RetryBudgetOptions retryBudget, RateLimits rateLimits, EndpointRests rests,
			Predicate<String> hasIdleConnection) {
		this.loop = loop;
		this.retryBudget = retryBudget;
		this.rateLimits = rateLimits;
		this.rests = rests;
		this.listed = new ListedEndpoints(rests);
		this.hasIdleConnection = hasIdleConnection;
	}

	/**
	 * Apply the pools of a table.
	 * @param table the table in force
	 */
	void table(RouteTable table) {
		this.tableNumber = table.number();
		this.declaredPools = table.pools();
		applySharers();
		this.declaredPools.stream().filter(Pool::isEngine).forEach((pool) -> {
			state(pool.name()).balancer().engineCacheTokens(pool.engineTokens());
			Optional<Duration> shortest = table.shortestTarget(pool.name());
			shortest.ifPresent((target) -> state(pool.name()).setShortestTarget(target));
			table.shortestEventGap(pool.name())
				.ifPresent((gap) -> state(pool.name()).balancer().shortestGap(gap.toMillis()));
		});
	}

	/**
	 * Set the routing policy of all pools.
	 * @param next the policy
	 */
	void policy(RoutingPolicy next) {
		this.policy = next;
		this.states.values().forEach((state) -> state.balancer().policy(next));
	}

	RoutingPolicy policy() {
		return this.policy;
	}

	/**
	 * Set the fleet.
	 * @param next the fleet as it is listed
	 */
	void fleet(Fleet next) {
		applyFleet(this.listed.update(next, System.nanoTime()));
	}

	/**
	 * Record that an endpoint stated that it is leaving.
	 * @param instance the endpoint
	 * @param now the time
	 * @return whether it was not known from the endpoint itself
	 */
	boolean leavingStated(String instance, long now) {
		Optional<Fleet> next = this.listed.leavingStated(instance, now);
		next.ifPresent(this::applyFleet);
		return next.isPresent();
	}

	/**
	 * Return whether an endpoint may still get the request that it was chosen for.
	 * @param instance the endpoint
	 * @param now the time
	 * @return whether it neither rests nor is leaving
	 */
	boolean mayGetRequests(String instance, long now) {
		return !this.rests.isResting(instance, now) && endpoint(instance).filter(FleetEndpoint::leaving).isEmpty();
	}

	private void applyFleet(Fleet next) {
		Map<String, List<FleetEndpoint>> byPool = new HashMap<>();
		Map<String, FleetEndpoint> present = new HashMap<>();
		Map<Integer, String> ids = new HashMap<>();
		next.endpoints().forEach((endpoint) -> {
			byPool.computeIfAbsent(endpoint.pool(), (pool) -> new ArrayList<>()).add(endpoint);
			present.put(endpoint.instance(), endpoint);
			ids.put(PeerLoads.idOf(endpoint.run().key()), endpoint.instance());
		});
		this.endpoints = present;
		this.instances = ids;
		byPool.keySet().forEach(this::state);
		this.states.forEach((pool, state) -> state.balancer().endpoints(byPool.getOrDefault(pool, List.of())));
		applySharers();
	}

	// The fleet as it is listed.
	Fleet fleet() {
		return this.listed.latest();
	}

	// The software versions of the endpoints.
	PoolVersions versions() {
		return this.versions;
	}

	// Returns the number of the table in force, 0 before the first one.
	long tableNumber() {
		return this.tableNumber;
	}

	RateLimits rateLimits() {
		return this.rateLimits;
	}

	// For how long endpoints want no requests of this VM.
	EndpointRests rests() {
		return this.rests;
	}

	ShareStates shares() {
		return this.shares;
	}

	PeerLoads peers() {
		return this.peers;
	}

	/**
	 * Return the load that this VM itself causes at the endpoints of all pools.
	 * @return the loads
	 */
	List<PeerLoads.Load> localLoads() {
		List<PeerLoads.Load> all = new ArrayList<>();
		this.states.values().forEach((state) -> all.addAll(state.balancer().localLoads()));
		return all;
	}

	/**
	 * Remove and return the uses of prompt parts that were not reported to the other
	 * entry VMs yet.
	 * @return the uses of all pools since the last call
	 */
	List<PartUse> drainUnreportedUses() {
		return this.states.values()
			.stream()
			.flatMap((state) -> state.balancer().drainUnreportedUses().stream())
			.toList();
	}

	/**
	 * Record that an endpoint used a part of a prompt for another entry VM.
	 * @param use the reported use
	 */
	void recordPeerUse(PartUse use) {
		this.states.values().forEach((state) -> state.balancer().recordPeerUse(use));
	}

	/**
	 * Set the number of entry VMs that share budgets and connections, as reported by
	 * control.
	 * @param count the number of VMs
	 */
	void updateEntryCount(int count) {
		this.countedAt = System.nanoTime();
		this.sharerCount.update(count, this.countedAt);
		refreshSharers();
	}

	/** Note that control reported the same number of entry VMs again. */
	void confirmEntryCount() {
		updateEntryCount(this.sharerCount.latest());
	}

	// Called periodically, as the number falls or expires with time.
	void refreshSharers() {
		this.sharers = this.sharerCount.sharers(System.nanoTime());
		applySharers();
	}

	/**
	 * Record a request, which earns a part of a retry. A request that may have been sent
	 * well before earns nothing: its retry would count in a later window than itself.
	 * @param pool the pool of the request
	 * @param readAt when the request was read
	 */
	void recordRequest(State pool, long readAt) {
		long now = System.nanoTime();
		if (!this.stallDetector.mayBeOld(readAt, now, System.currentTimeMillis())) {
			pool.allowance().request(now);
		}
	}

	/**
	 * Record that the event loop runs; called at the interval of a tick.
	 * @return how long it had stalled, in milliseconds, empty if it had not
	 */
	OptionalLong tick() {
		long now = System.nanoTime();
		long wallClock = System.currentTimeMillis();
		OptionalLong stalled = this.stallDetector.tick(now, wallClock);
		stalled.ifPresent((millis) -> this.sharerCount.stalled(TimeUnit.MILLISECONDS.toSeconds(millis)));
		// Data that is read while catching up may be older than the retries.
		if (!this.stallDetector.isCatchingUp(now, wallClock)) {
			this.states.values().forEach((state) -> state.confirmArrivals(now));
		}
		return stalled;
	}

	/**
	 * Return whether data that arrived a while ago may not have been read yet.
	 * @return whether the event loop has only just resumed after a stall
	 */
	boolean isCatchingUp() {
		return this.stallDetector.isCatchingUp(System.nanoTime(), System.currentTimeMillis());
	}

	/**
	 * Return the number of VMs among which the retry budgets are divided.
	 * @return the number, the age of the count and the uptime
	 */
	RetrySharing sharing() {
		long now = System.nanoTime();
		return new RetrySharing(this.sharers.orElse(0), Duration.ofNanos(now - this.countedAt),
				Duration.ofNanos(now - this.startedAt));
	}

	/** Log the pools whose division has changed; called periodically. */
	void logDivisions() {
		this.shares.log();
		this.declaredPools.stream().filter(Pool::isEngine).forEach((pool) -> state(pool.name()).log.updateDivision());
	}

	/** Log the pools whose use has changed otherwise; called periodically. */
	void logPools() {
		long now = System.nanoTime();
		this.states.values().forEach((state) -> state.log.update(now));
	}

	/** Log the limits on requests that have changed; called periodically. */
	void logRateLimits() {
		this.rateLimitLog.update(this.rateLimits.statuses(System.nanoTime()), this.instances);
	}

	private void applySharers() {
		this.states.values().forEach((state) -> state.allowance().sharers(this.sharers));
		int entries = Math.max(1, this.sharerCount.highest());
		this.states.values().forEach((state) -> state.balancer().entryVms(entries));
		this.declaredPools.forEach((pool) -> state(pool.name()).balancer()
			.connectionShare(ConnectionShare.of(pool.maxConnections(), entries)));
	}

	/**
	 * Return the state of a pool.
	 * @param pool the name of the pool
	 * @return its state, created at the first call
	 */
	State state(String pool) {
		return this.states.computeIfAbsent(pool, (name) -> {
			RetryAllowance allowance = new RetryAllowance(this.startedAt, this.retryBudget.window().toNanos(),
					this.retryBudget.ratio(), this.retryBudget.minimum());
			allowance.sharers(this.sharers);
			PoolBalancer balancer = new PoolBalancer(this.peers, this.rateLimits, this.rests, this.hasIdleConnection);
			balancer.policy(this.policy);
			return new State(name, balancer, allowance, new PoolQueue(this.loop));
		});
	}

	/**
	 * Return the gauge values of each pool.
	 * @param now the time
	 * @return the values by the name of the pool
	 */
	Map<String, RouteGauges.Pool> gauges(long now) {
		Map<String, RouteGauges.Pool> gauges = new HashMap<>();
		this.states.forEach((name, state) -> gauges.put(name, new RouteGauges.Pool(state.queue().size(),
				state.balancer().localLoads().stream().mapToInt(PeerLoads.Load::inFlight).sum(),
				state.allowance().left(now), state.balancer().speeds().range(), this.shares.isShort(name, now))));
		return gauges;
	}

	Optional<Pool> declaredPool(String pool) {
		return this.declaredPools.stream().filter((p) -> p.name().equals(pool)).findFirst();
	}

	Optional<FleetEndpoint> endpoint(String instance) {
		return Optional.ofNullable(this.endpoints.get(instance));
	}

	/**
	 * Return how many endpoints a pool has.
	 * @param pool its name
	 * @return the number of listed endpoints
	 */
	int size(String pool) {
		return (int) this.endpoints.values().stream().filter((endpoint) -> endpoint.pool().equals(pool)).count();
	}

	/**
	 * The state of a pool.
	 */
	static final class State {

		private final PoolBalancer balancer;

		private final RetryAllowance allowance;

		private final PoolQueue queue;

		private final List<Attempt> unconfirmed = new ArrayList<>();

		private Duration shortestTarget = Duration.ZERO;

		private final PoolLog log;

		private State(String pool, PoolBalancer balancer, RetryAllowance allowance, PoolQueue queue) {
			this.log = new PoolLog(pool, balancer);
			this.balancer = balancer;
			this.allowance = allowance;
			this.queue = queue;
		}

		Duration shortestTarget() {
			return this.shortestTarget;
		}

		private void setShortestTarget(Duration target) {
			this.shortestTarget = target;
		}

		/**
		 * Return the balancer, which chooses the endpoints.
		 * @return the balancer
		 */
		PoolBalancer balancer() {
			return this.balancer;
		}

		/**
		 * Return the allowance, which limits the retries.
		 * @return the allowance
		 */
		RetryAllowance allowance() {
			return this.allowance;
		}

		/**
		 * Return the requests that wait for an endpoint.
		 * @return the queue
		 */
		PoolQueue queue() {
			return this.queue;
		}

		/**
		 * Add an attempt of a retried request that was sent. Until its arrival is
		 * confirmed it counts against the allowance.
		 * @param attempt the attempt
		 */
		void addUnconfirmed(Attempt attempt) {
			this.unconfirmed.add(attempt);
		}

		private void confirmArrivals(long now) {
			this.unconfirmed.removeIf((attempt) -> attempt.tryConfirmArrival(now));
		}

		/**
		 * Return whether a target is among the shortest of the pool.
		 * @param target the target
		 * @param factor by which factor it may exceed the shortest target
		 * @return whether requests with this target are brief ones
		 */
		boolean isBrief(Duration target, double factor) {
			return target.toNanos() <= this.shortestTarget.toNanos() * factor;
		}

	}

}
