package org.acaciacourse.core.balance;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;

import net.openhft.hashing.LongHashFunction;
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
 * A part of the engines, the same at every entry, is for brief requests. On a day of
 * twice the usual load on thirteen engines their answers in time rose from 49 to 77 in a
 * hundred, those to the longest prompts fell from 77 to 69; by what answers are worth the
 * day gained.
 * <p>
 * Not thread safe: belongs to one event loop.
 */
public final class PoolBalancer {

	private static final LongHashFunction HASH = LongHashFunction.xx3();

	/**
	 * What a running request costs one that joins it, in prompt tokens: a step of a batch
	 * takes about 0.18 ms longer with each, an engine reads some 60 tokens in a
	 * millisecond, and a target covers some twenty steps.
	 */
	private static final double TOKENS_PER_RUNNING = 220;

	/**
	 * What reading a prompt where its shared part is not held costs, as a multiple of its
	 * work. An engine holds little more than its shared parts beside the requests that
	 * run, so that a part which is held twice drives out another one, and that one is
	 * read again. With 3 in place of 10 a day of twice the usual load on thirteen engines
	 * read 2.3 million tokens again, not 1.4.
	 */
	private static final double ANEW_FACTOR = 10;

	/** The work of a usual prompt, by which the requests that wait are estimated. */
	private static final double USUAL_WORK = 10_000;

	/**
	 * The part of the endpoints for requests whose target is the shortest. An engine
	 * reads long prompts between the tokens of all that run there, so that a step takes
	 * some four times as long, and brief answers beside them miss their gaps however they
	 * are ordered. A third of the engines was no better: the long ones lack them then.
	 */
	private static final double BRIEF_SHARE = 0.25;

	/** With fewer endpoints a crash would leave one of the two kinds without any. */
	private static final int LEAST_TO_DIVIDE = 4;

	/**
	 * What it costs to put a brief request where long prompts belong: the work of two or
	 * three of those, which it is likely to wait for.
	 */
	private static final double BRIEF_ELSEWHERE_WORK = 40_000;

	/**
	 * What it costs to put a long prompt where brief requests belong: more than its own
	 * endpoints ever have waiting while any of them lives, as each such prompt delays
	 * some ten brief answers that are worth more.
	 */
	private static final double LONG_ELSEWHERE_WORK = 500_000;

	/** What a request that waits at the endpoint costs, in prompt tokens. */
	private static final double TOKENS_PER_WAITING = 4_000;

	/**
	 * What a failure rate of 1 costs, in prompt tokens: more than any queue, so that an
	 * endpoint that fails is taken when nothing else is left.
	 */
	private static final double TOKENS_PER_FAILURE = 60_000;

	/**
	 * What a new connection costs, in prompt tokens: the time of two round trips and of
	 * the endpoint's work on it, some milliseconds. Less than a request that runs beside,
	 * so that it only decides between endpoints that are about equally busy.
	 */
	private static final double CONNECTION_WORK = 200;

	/** How long an endpoint that said it is full gets nothing new from this VM. */
	private static final long FULL_PAUSE_NANOS = 100_000_000L;

	/** How long one that said it is leaving gets nothing, until the list says so too. */
	private static final long LEAVING_PAUSE_NANOS = 3_000_000_000L;

	/**
	 * Uses of parts that wait to be told; more than a VM sends between two digests. A VM
	 * that is alone tells nobody.
	 */
	private static final int MOST_UNTOLD = 64;

	private final Map<String, EndpointLoad> loads = new HashMap<>();

	private final PeerLoads peers;

	private final Predicate<String> connected;

	private int connectionsEach = Integer.MAX_VALUE;

	private long engineTokens;

	private final Set<EndpointLoad> brief = new HashSet<>();

	private final Set<PartUse> untold = new LinkedHashSet<>();

	/**
	 * Make a balancer.
	 * @param peers what the other entry VMs have under way
	 * @param connected tells whether an idle connection to an instance is kept
	 */
	public PoolBalancer(PeerLoads peers, Predicate<String> connected) {
		this.peers = peers;
		this.connected = connected;
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
		divide();
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
		Optional<EndpointLoad> home = home(asked, now);
		EndpointLoad best = null;
		double bestCost = Double.MAX_VALUE;
		for (EndpointLoad load : this.loads.values()) {
			if (isUsable(load, asked.without(), now)) {
				double cost = cost(load, now) + work(load, asked.shape(), home) + strangeness(load, asked)
						+ connecting(load) + tieBreak(load, asked.salt());
				if (cost < bestCost) {
					best = load;
					bestCost = cost;
				}
			}
		}
		return Optional.ofNullable(best).map(EndpointLoad::endpoint);
	}

	// Reading a shared part for the first time can't be avoided, and the home is where
	// the other requests that share it go. Anywhere else it is read once more. Whatever
	// is read delays all that wait there: when all queues are long, reading parts in many
	// places makes them longer still, until engines do little else.
	private static double work(EndpointLoad load, PromptShape shape, Optional<EndpointLoad> home) {
		long held = load.memory().held(shape);
		boolean isPlace = home.isEmpty() || home.get() == load || held == shape.sharedTokens();
		double delayed = load.waitingWork() / USUAL_WORK;
		return (((isPlace) ? 1 : ANEW_FACTOR) + delayed) * shape.work(held);
	}

	// What it costs to put a request where the other kind belongs.
	private double strangeness(EndpointLoad load, Placement asked) {
		boolean divided = !this.brief.isEmpty() && asked.shape().promptTokens() > 0;
		if (!divided || asked.brief() == this.brief.contains(load)) {
			return 0;
		}
		return (asked.brief()) ? BRIEF_ELSEWHERE_WORK : LONG_ELSEWHERE_WORK;
	}

	private double connecting(EndpointLoad load) {
		return (this.connected.test(load.endpoint().instance())) ? 0 : CONNECTION_WORK;
	}

	// The endpoints for brief requests, the same at every entry.
	private void divide() {
		long engines = this.loads.values().stream().filter((load) -> !load.endpoint().leaving()).count();
		this.brief.clear();
		if (engines >= LEAST_TO_DIVIDE) {
			this.loads.values()
				.stream()
				.filter((load) -> !load.endpoint().leaving())
				.sorted(Comparator.comparingLong(EndpointLoad::hash))
				.limit(Math.max(1, Math.round(engines * BRIEF_SHARE)))
				.forEach(this.brief::add);
		}
	}

	private Optional<EndpointLoad> home(Placement asked, long now) {
		long key = asked.shape().sharedId();
		if (key == 0 || !asked.affinity() || asked.brief()) {
			return Optional.empty();
		}
		EndpointLoad home = null;
		long highest = 0;
		for (EndpointLoad load : this.loads.values()) {
			long weight = HASH.hashLong(key ^ Long.rotateLeft(load.hash(), 32));
			if (isUsable(load, asked.without(), now) && !this.brief.contains(load)
					&& (home == null || Long.compareUnsigned(weight, highest) > 0)) {
				home = load;
				highest = weight;
			}
		}
		return Optional.ofNullable(home);
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
		return !load.endpoint().leaving() && !load.isPaused(now) && load.inFlight() < this.connectionsEach
				&& !without.contains(load.endpoint().instance());
	}

	private static double cost(EndpointLoad load, long now) {
		double slots = load.endpoint().slots();
		double over = Math.max(0, load.running(now) + 1 - slots);
		// A service with few slots is full with few requests: a request there costs as
		// much as a full batch shared by its slots.
		double perRunning = Math.max(TOKENS_PER_RUNNING, TOKENS_PER_WAITING / slots);
		double failures = (load.isSuspect(now)) ? 1 : load.failureRate(now);
		return load.waitingWork() + perRunning * load.running(now) + TOKENS_PER_WAITING * (over + load.waiting(now))
				+ TOKENS_PER_FAILURE * failures;
	}

	// Below one token: VMs that know nothing of each other's requests should not all take
	// the first of equal endpoints.
	private static double tieBreak(EndpointLoad load, long salt) {
		long mixed = HASH.hashLong(salt ^ load.hash());
		return (mixed >>> 11) * 0x1.0p-53;
	}

	/**
	 * A request is sent.
	 * @param instance the endpoint's instance
	 * @param shape the request's prompt
	 * @param now the time
	 * @return the work that it waits for there, for {@link #promptRead}
	 */
	public long begin(String instance, PromptShape shape, long now) {
		return find(instance).map((load) -> {
			long work = shape.work(load.memory().held(shape));
			load.begin(work);
			shape.sharedParts().forEach((part) -> {
				load.memory().use(part);
				tellLater(new PartUse(load.name(), part));
			});
			return work;
		}).orElse(0L);
	}

	private void tellLater(PartUse use) {
		if (this.untold.size() < MOST_UNTOLD) {
			this.untold.add(use);
		}
	}

	/**
	 * Another entry VM had an endpoint use a part of a prompt.
	 * @param use what it tells
	 */
	public void told(PartUse use) {
		this.loads.values()
			.stream()
			.filter((load) -> load.name() == use.endpoint())
			.forEach((load) -> load.memory().use(use.part()));
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
	 * A request's prompt is read, or the request ended before.
	 * @param instance the endpoint's instance
	 * @param work what {@link #begin} told
	 */
	public void promptRead(String instance, long work) {
		find(instance).ifPresent((load) -> load.promptRead(work));
	}

	/**
	 * The answer to a request began to come, event by event.
	 * @param instance the endpoint's instance
	 */
	public void streamBegan(String instance) {
		find(instance).ifPresent(EndpointLoad::streamBegan);
	}

	/**
	 * An answer that began to come ended, whole or not.
	 * @param instance the endpoint's instance
	 */
	public void streamEnded(String instance) {
		find(instance).ifPresent(EndpointLoad::streamEnded);
	}

	/**
	 * Something came from an endpoint.
	 * @param instance the endpoint's instance
	 * @param now the time
	 */
	public void heard(String instance, long now) {
		find(instance).ifPresent((load) -> load.heard(now));
	}

	/**
	 * Return when an endpoint was heard of last, on any connection.
	 * @param instance the endpoint's instance
	 * @return the time, if it was ever heard of
	 */
	public OptionalLong heardAt(String instance) {
		return find(instance).map((load) -> OptionalLong.of(load.heardAt())).orElse(OptionalLong.empty());
	}

	/**
	 * A request ended.
	 * @param instance the endpoint's instance
	 * @param outcome how
	 * @param now the time
	 */
	public void end(String instance, Outcome outcome, long now) {
		find(instance).ifPresent((load) -> {
			load.end();
			outcome.tell(load, now);
		});
	}

	/**
	 * An endpoint told its load.
	 * @param instance its instance
	 * @param running the requests that run
	 * @param waiting the requests that wait
	 * @param now the time
	 */
	public void report(String instance, int running, int waiting, long now) {
		find(instance).ifPresent((load) -> load.report(running, waiting, now));
	}

	/**
	 * Return the work that waits at an endpoint, of all VMs as far as they tell.
	 * @param instance its instance
	 * @return the work in prompt tokens, 0 if the endpoint is not in the pool
	 */
	public long waitingWork(String instance) {
		return find(instance).map(EndpointLoad::waitingWork).orElse(0L);
	}

	/**
	 * Tell what is believed of an endpoint, for the log.
	 * @param instance its instance
	 * @param now the time
	 * @return the belief, if the endpoint is in the pool
	 */
	public Optional<Belief> belief(String instance, long now) {
		return find(instance).map((load) -> new Belief(load.running(now), load.waitingWork(), load.failureRate(now)));
	}

	private Optional<EndpointLoad> find(String instance) {
		return Optional.ofNullable(this.loads.get(instance));
	}

	/**
	 * A part of a prompt that an endpoint was sent.
	 *
	 * @param endpoint the short name of the endpoint, {@link PeerLoads#nameOf}
	 * @param part the part
	 */
	public record PartUse(int endpoint, PromptShape.Part part) {
	}

	/**
	 * What is believed of an endpoint.
	 *
	 * @param running the requests there
	 * @param waitingWork the work of those whose prompt is not read yet
	 * @param failureRate the share of answers that fail, the latest ones counting most
	 */
	public record Belief(int running, long waitingWork, double failureRate) {
	}

	/**
	 * What the end of a request tells of its endpoint.
	 */
	public enum Outcome {

		/** It answered. */
		GOOD {
			@Override
			void tell(EndpointLoad load, long now) {
				load.succeeded();
			}
		},

		/** It answered with a failure of its own. */
		FAILED {
			@Override
			void tell(EndpointLoad load, long now) {
				load.failed(now);
			}
		},

		/** It could not be reached, broke off or went silent. */
		LOST {
			@Override
			void tell(EndpointLoad load, long now) {
				load.lost(now);
			}
		},

		/** Nobody listens at its address: its process is gone, and what it held. */
		GONE {
			@Override
			void tell(EndpointLoad load, long now) {
				load.lost(now);
				load.memory().forget();
			}
		},

		/** It is full. */
		FULL {
			@Override
			void tell(EndpointLoad load, long now) {
				load.refused(now, FULL_PAUSE_NANOS);
			}
		},

		/** It is leaving, or another one has its address now. */
		LEAVING {
			@Override
			void tell(EndpointLoad load, long now) {
				load.refused(now, LEAVING_PAUSE_NANOS);
			}
		},

		/** Nothing: the caller went away, or the time was over. */
		UNKNOWN {
			@Override
			void tell(EndpointLoad load, long now) {
			}
		};

		abstract void tell(EndpointLoad load, long now);

	}

}
