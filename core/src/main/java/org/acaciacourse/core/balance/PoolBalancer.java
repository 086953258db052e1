package org.acaciacourse.core.balance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.acaciacourse.core.route.FleetEndpoint;

/**
 * Chooses endpoints of one pool. The cost of an endpoint is what a request waits there by
 * what is known, in prompt tokens: the prompts that this VM has it read already, the
 * requests that run there, and the shared parts of the prompt if the endpoint does not
 * hold them. Which ones hold them follows from what all entry VMs had them read
 * ({@link PromptMemory}). A part that none holds goes to the endpoint that rendezvous
 * hashing (Thaler and Ravishankar, 1998) names, so that all entry VMs send it to the same
 * one without a word between them; the others get it only when those queues cost more
 * than reading the shared part anew.
 * <p>
 * Not thread safe: belongs to one event loop.
 */
public final class PoolBalancer {

	/**
	 * Uses of parts that wait to be told; more than a VM sends between two digests. A VM
	 * that is alone tells nobody.
	 */
	private static final int MOST_UNTOLD = 64;

	/** The longest pause between events that routes of today aim for. */
	private static final long USUAL_GAP_MILLIS = 150;

	private final Map<String, EndpointLoad> loads = new HashMap<>();

	/** Under the short names of digests, of which one comes for every few requests. */
	private final Map<Integer, EndpointLoad> byName = new HashMap<>();

	private final PeerLoads peers;

	private final Predicate<String> connected;

	private int connectionsEach = Integer.MAX_VALUE;

	private long engineTokens;

	private long shortestGapMillis = USUAL_GAP_MILLIS;

	private RoutingPolicy policy = RoutingPolicy.DEFAULT;

	private PlacementCost cost = new PlacementCost(this.policy);

	private long harmlessWork = harmlessWork();

	private final BriefEngines brief = new BriefEngines();

	private final ReadingPace pace = new ReadingPace();

	private final ChoiceSample ofBrief;

	private final ChoiceSample ofOthers;

	private final Set<PartUse> untold = new LinkedHashSet<>();

	/**
	 * Make a balancer.
	 * @param peers what the other entry VMs have under way
	 * @param connected tells whether an idle connection to an instance is kept
	 */
	public PoolBalancer(PeerLoads peers, Predicate<String> connected) {
		this.peers = peers;
		this.connected = connected;
		this.ofBrief = new ChoiceSample(peers);
		this.ofOthers = new ChoiceSample(peers);
	}

	/**
	 * Set how the balancer decides from now on.
	 * @param next the policy
	 */
	public void policy(RoutingPolicy next) {
		this.policy = next;
		this.cost = new PlacementCost(next);
		this.harmlessWork = harmlessWork();
		this.brief.policy(next, this.loads.values());
	}

	private long harmlessWork() {
		return Math.round(this.shortestGapMillis * this.policy.value(RoutingParameter.HARMLESS_WORK));
	}

	/**
	 * Return what this VM has under way.
	 * @return the load at each endpoint where there is any
	 */
	public List<PeerLoads.Load> own() {
		return this.loads.values().stream().filter((load) -> load.inFlight() > 0).map(EndpointLoad::own).toList();
	}

	/**
	 * Set the size of the memory of the pool's engines.
	 * @param tokens the tokens that each holds
	 */
	public void engineTokens(long tokens) {
		this.engineTokens = tokens;
		this.loads.values().forEach((load) -> load.memory().engineTokens(tokens));
	}

	/**
	 * Set the shortest pause between events that a route of the pool aims for.
	 * @param millis the pause
	 */
	public void shortestGap(long millis) {
		this.shortestGapMillis = millis;
		this.harmlessWork = harmlessWork();
	}

	/**
	 * Take the endpoints of the pool from the fleet.
	 * @param endpoints the endpoints
	 */
	public void endpoints(List<FleetEndpoint> endpoints) {
		Map<String, FleetEndpoint> next = new HashMap<>();
		endpoints.forEach((endpoint) -> next.put(endpoint.instance(), endpoint));
		this.loads.keySet().retainAll(next.keySet());
		next.forEach((instance, endpoint) -> {
			EndpointLoad load = this.loads.get(instance);
			if (load != null) {
				load.update(endpoint);
			}
			else {
				this.loads.put(instance, made(endpoint));
			}
		});
		this.byName.clear();
		this.loads.values().forEach((load) -> this.byName.put(load.name(), load));
		this.brief.divide(this.loads.values());
	}

	private EndpointLoad made(FleetEndpoint endpoint) {
		EndpointLoad load = new EndpointLoad(endpoint, this.peers);
		if (this.engineTokens > 0) {
			load.memory().engineTokens(this.engineTokens);
		}
		return load;
	}

	/**
	 * Bound the requests of this VM at one endpoint, each of which takes a connection.
	 * @param most the most requests at a time
	 */
	public void connectionsEach(int most) {
		this.connectionsEach = Math.max(1, most);
	}

	/**
	 * Choose an endpoint.
	 * @param asked what the request asks
	 * @param now the time
	 * @return the endpoint, or nothing if none may get the request now
	 */
	public Optional<FleetEndpoint> choose(Placement asked, long now) {
		this.brief.follow(now);
		List<EndpointLoad> usable = usable(asked.without(), now);
		Homes homes = homes(asked, usable);
		boolean mixed = isMixed(asked);
		int apart = (mixed) ? (int) usable.stream().filter(this.brief::contains).count() : 0;
		double share = share(asked, now);
		ChoiceSample.Draw forBrief = new ChoiceSample.Draw(share, apart, asked.salt());
		ChoiceSample.Draw others = new ChoiceSample.Draw(share, usable.size() - apart, asked.salt());
		long shared = asked.shape().sharedTokens();
		EndpointLoad best = null;
		double bestCost = Double.MAX_VALUE;
		for (EndpointLoad load : usable) {
			boolean drawn = (mixed && this.brief.contains(load)) ? forBrief.next() : others.next();
			long held = load.memory().held(asked.shape());
			boolean isPlace = held == shared || homes.contains(load);
			// The endpoints that hold the shared parts are few, and compared in any case.
			if (drawn || (isPlace && shared > 0)) {
				double cost = cost(load, asked, held, homes.role(load, held == shared), now);
				if (cost < bestCost) {
					best = load;
					bestCost = cost;
				}
			}
		}
		return Optional.ofNullable(best).map(EndpointLoad::endpoint);
	}

	private List<EndpointLoad> usable(Set<String> without, long now) {
		List<EndpointLoad> usable = new ArrayList<>(this.loads.size());
		for (EndpointLoad load : this.loads.values()) {
			if (isUsable(load, without, now)) {
				usable.add(load);
			}
		}
		return usable;
	}

	private double share(Placement asked, long now) {
		return (this.policy.isOn(RoutingMechanism.SAMPLED_CHOICE))
				? sample(asked).share(this.policy.value(RoutingParameter.UNTOLD_REQUESTS), now) : 1;
	}

	// Both kinds have endpoints of their own, where only their own is untold.
	private ChoiceSample sample(Placement asked) {
		return (asked.brief()) ? this.ofBrief : this.ofOthers;
	}

	private double cost(EndpointLoad load, Placement asked, long held, HomeOfParts home, long now) {
		double sum = this.cost.of(load, asked, held, home, now);
		if (isMixed(asked)) {
			sum += mixing(load, asked, held);
		}
		if (!this.connected.test(load.endpoint().instance())) {
			sum += this.cost.connection();
		}
		return sum;
	}

	private boolean isMixed(Placement asked) {
		return this.brief.isDivided() && asked.shape().promptTokens() > 0;
	}

	// An engine reads a prompt between the tokens of all that run there: a long one makes
	// each brief answer beside it late by its gap alone.
	private double mixing(EndpointLoad load, Placement asked, long held) {
		boolean forBrief = this.brief.contains(load);
		if (asked.brief()) {
			return (forBrief) ? 0 : this.cost.briefElsewhere();
		}
		long work = asked.shape().work(held);
		double beside = this.cost.beside(load.brief(), work, this.harmlessWork);
		return (forBrief) ? beside + this.cost.elsewhere(work, this.harmlessWork) : beside;
	}

	private Homes homes(Placement asked, List<EndpointLoad> usable) {
		PromptShape shape = asked.shape();
		if (shape.sharedId() == 0 || !asked.affinity() || asked.brief()
				|| !this.policy.isOn(RoutingMechanism.HOME_OF_PARTS)) {
			return Homes.NONE;
		}
		Homes homes = Homes.of(shape, usable, (load) -> !this.brief.contains(load));
		double factor = this.policy
			.value((homes.held()) ? RoutingParameter.SECOND_FACTOR : RoutingParameter.NEW_PART_FACTOR);
		boolean helps = this.policy.isOn(RoutingMechanism.SECOND_HOME)
				&& homes.queueDifference() > factor * shape.work(0);
		return (helps) ? homes : homes.withoutSecond();
	}

	/**
	 * Return whether waiting for an endpoint is in vain.
	 * @param without the instances that had their turn
	 * @return whether there are endpoints and all had it
	 */
	public boolean isExhausted(Set<String> without) {
		List<EndpointLoad> staying = this.loads.values().stream().filter((load) -> !load.endpoint().leaving()).toList();
		return !staying.isEmpty() && staying.stream().allMatch((load) -> without.contains(load.endpoint().instance()));
	}

	private boolean isUsable(EndpointLoad load, Set<String> without, long now) {
		boolean paused = load.isPaused(now) && this.policy.isOn(RoutingMechanism.PAUSES);
		return !load.endpoint().leaving() && !paused && load.inFlight() < this.connectionsEach
				&& !without.contains(load.endpoint().instance());
	}

	/**
	 * A request is sent.
	 * @param instance the endpoint that was chosen, still in the pool
	 * @param asked what the request asks
	 * @param turn when the endpoint turns to it
	 * @param now the time
	 * @return the request there
	 */
	public PlacedRequest begin(String instance, Placement asked, Turn turn, long now) {
		sample(asked).sent(now);
		EndpointLoad load = find(instance).orElseThrow();
		PlacedRequest placed = new PlacedRequest(load, this.pace, asked, turn);
		asked.shape().sharedParts().forEach((part) -> {
			load.memory().use(part);
			tellLater(new PartUse(load.name(), part));
		});
		return placed;
	}

	private void tellLater(PartUse use) {
		if (this.policy.isOn(RoutingMechanism.PARTS_TOLD) && this.untold.size() < MOST_UNTOLD) {
			this.untold.add(use);
		}
	}

	/**
	 * Another entry VM had an endpoint use a part of a prompt.
	 * @param use what it tells
	 */
	public void told(PartUse use) {
		EndpointLoad load = this.byName.get(use.endpoint());
		if (load != null) {
			load.memory().use(use.part());
		}
	}

	/**
	 * Take the uses that the other entry VMs do not know of yet.
	 * @return the uses since the last call
	 */
	public List<PartUse> takeUntold() {
		List<PartUse> uses = List.copyOf(this.untold);
		this.untold.clear();
		return uses;
	}

	/**
	 * Return whether a prompt would be read too late at an endpoint.
	 * @param instance its instance
	 * @param shape the prompt
	 * @param left nanoseconds until the first event is due
	 * @return whether what waits there takes longer, by what is known
	 */
	public boolean isLate(String instance, PromptShape shape, long left) {
		if (!this.policy.isOn(RoutingMechanism.DEFERRAL)) {
			return false;
		}
		return find(instance).map((load) -> {
			long work = load.waitingWork() + shape.work(load.memory().held(shape));
			return this.pace.nanos(work) > left;
		}).orElse(false);
	}

	/**
	 * Tell how the pool is divided, for the log.
	 * @return the division, if there are endpoints enough
	 */
	public Optional<Division> division() {
		return Optional.of(this.brief.told()).filter((told) -> told.engines() > 0);
	}

	private Optional<EndpointLoad> find(String instance) {
		return Optional.ofNullable(this.loads.get(instance));
	}

	/**
	 * The part of the engines that is for requests whose target is the shortest.
	 *
	 * @param engines how many engines
	 * @param running such requests that run at all entries
	 * @param waitingWork the work that waits at each of the other engines
	 */
	public record Division(int engines, int running, long waitingWork) {
	}

}
