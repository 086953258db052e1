package org.acaciacourse.core.scaling;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;

import org.acaciacourse.core.duty.CallBackoff;
import org.acaciacourse.core.duty.DutyAnswer;
import org.acaciacourse.core.route.Fleet;
import org.acaciacourse.core.route.Pool;
import org.acaciacourse.core.route.PoolScaling;
import org.acaciacourse.core.scaling.EndpointOrder.Subject;
import org.acaciacourse.core.scaling.OrderRecords.OrderRecord;

/**
 * Replaces the permanent endpoints of pools by reclaimable ones where these cost less,
 * and a reserve of them in each data centre, so that the others bear the loss of one. The
 * number is that of the endpoints that stood there before the first order. Permanent
 * endpoints are ordered away only once their replacements serve. When the platform takes
 * endpoints back, the order is repeated until they are to be had again. Where the demand
 * is known, the number of reclaimable endpoints follows it once the permanent ones are
 * ordered away ({@link CapacityTarget}).
 * <p>
 * An order without an answer may be carried out after later ones. Before anything else is
 * ordered the lease is acquired anew, so that the platform refuses it then. A refusal of
 * reclaimable endpoints has two meanings, that there are none or that a higher fencing
 * number was seen: after some of them the lease is acquired anew, too.
 * <p>
 * Invariants: at most one action is outstanding; an order is sent only with the fencing
 * number of a lease that is held at that moment; pools without a price for reclaimable
 * endpoints, or of which no endpoint is known, are left alone.
 * <p>
 * Not thread safe: all methods must be called by one thread.
 */
public final class EndpointOrders {

	/** Endpoints that are listed one after the other at a start are counted together. */
	private static final long STABLE_NANOS = Duration.ofMillis(2_500).toNanos();

	/** Steps have shorter timeouts of their own; one whose end was lost is repeated. */
	private static final long STEP_TIMEOUT_NANOS = Duration.ofSeconds(10).toNanos();

	/** The delay between two orders while no reclaimable endpoints are to be had. */
	private static final long UNAVAILABLE_NANOS = Duration.ofSeconds(3).toNanos();

	/** How long a call may stay without answer until another VM is to try. */
	private static final long ABSTAIN_NANOS = Duration.ofSeconds(10).toNanos();

	/** Calls without an answer in a row after which another VM is to try. */
	private static final int MAX_UNANSWERED = 3;

	/** Refusals in a row after which a higher number is tried. */
	private static final int MAX_REFUSALS = 3;

	/** The part of the ordered endpoints that must serve before others are taken away. */
	private static final double SERVING_PART = 0.9;

	/** Below that part of the ordered endpoints they have been taken back. */
	private static final double LACKING_PART = 0.5;

	private final double reserve;

	private final CallBackoff backoff;

	private final EndpointOrderActions actions;

	private final OrderRecords records = new OrderRecords();

	private final DemandTargets targets;

	/** The latest plans by the names of the pools. */
	private final Map<String, Map<String, Integer>> plans = new HashMap<>();

	private boolean demandComplete;

	private Map<String, PoolProvision> provisions = new TreeMap<>();

	private long currentFencingNumber;

	private boolean outstanding;

	private long outstandingSince;

	private boolean givenUp;

	private boolean stateKnown;

	private boolean holds;

	private int unanswered;

	private long fleetRevision;

	private long fleetSince;

	/**
	 * Create the orders.
	 * @param reserve the number of reclaimable endpoints for each permanent one that they
	 * replace
	 * @param backoff times the calls to the platform
	 * @param actions carries out the actions
	 */
	public EndpointOrders(double reserve, CallBackoff backoff, EndpointOrderActions actions) {
		if (!(reserve >= 1)) {
			throw new IllegalArgumentException("reserve must be at least 1: " + reserve);
		}
		this.reserve = reserve;
		this.backoff = backoff;
		this.actions = actions;
		this.targets = new DemandTargets(reserve);
	}

	/**
	 * Carry out the next step if one is due, without regard to the demand.
	 * @param fencingNumber the fencing number of the lease, if it is held now
	 * @param fleet the endpoints, {@link Fleet#NONE} if they are not known
	 * @param pools the pools of the configuration
	 * @param now the monotonic time in nanoseconds
	 */
	public void tick(OptionalLong fencingNumber, Fleet fleet, List<Pool> pools, long now) {
		tick(fencingNumber, fleet, pools, FleetDemand.NONE, now);
	}

	/**
	 * Observe the demand and carry out the next step if one is due. Must be called
	 * regularly, also while the lease is not held.
	 * @param fencingNumber the fencing number of the lease, if it is held now
	 * @param fleet the endpoints, {@link Fleet#NONE} if they are not known
	 * @param pools the pools of the configuration
	 * @param demand what the entry VMs told
	 * @param now the monotonic time in nanoseconds
	 */
	public void tick(OptionalLong fencingNumber, Fleet fleet, List<Pool> pools, FleetDemand demand, long now) {
		if (fleet.revision() != this.fleetRevision) {
			this.fleetRevision = fleet.revision();
			this.fleetSince = now;
		}
		this.demandComplete = demand.complete();
		List<Pool> ordered = pools.stream().filter(EndpointOrders::isOrdered).toList();
		this.targets.observe(ordered, fleet, demand, this.provisions, now);
		this.holds = fencingNumber.isPresent();
		if (fencingNumber.isEmpty()) {
			return;
		}
		if (fencingNumber.getAsLong() != this.currentFencingNumber) {
			begin(fencingNumber.getAsLong());
		}
		boolean waits = this.outstanding && now - this.outstandingSince < STEP_TIMEOUT_NANOS;
		if (waits || this.givenUp || !this.backoff.mayCall(now)) {
			return;
		}
		this.outstandingSince = now;
		if (!this.stateKnown) {
			this.outstanding = true;
			this.actions.readState();
		}
		else if (fleet.revision() != 0) {
			ordered.stream().anyMatch((pool) -> step(pool, fleet, now));
		}
	}

	private static boolean isOrdered(Pool pool) {
		return pool.scaling().filter((scaling) -> scaling.reclaimablePrice() < 1 && scaling.max() > 0).isPresent();
	}

	// Orders of this VM that were answered hold until another VM has the lease.
	private void begin(long fencingNumber) {
		if (fencingNumber != this.currentFencingNumber + 1) {
			this.records.clear();
			this.targets.restart();
		}
		this.plans.clear();
		this.currentFencingNumber = fencingNumber;
		this.outstanding = false;
		this.givenUp = false;
		this.stateKnown = false;
	}

	private boolean step(Pool pool, Fleet fleet, long now) {
		Map<String, Integer> serving = DemandTargets.serving(pool, fleet);
		PoolProvision provision = this.provisions.get(pool.name());
		if (provision == null) {
			boolean stable = !serving.isEmpty() && now - this.fleetSince >= STABLE_NANOS;
			if (stable) {
				record(pool, new PoolProvision(serving, Set.of()));
			}
			return stable;
		}
		Map<String, Integer> planned = plan(pool, provision, serving, now);
		return provision.counts()
			.keySet()
			.stream()
			.anyMatch((dataCentre) -> step(pool, provision, dataCentre, serving.getOrDefault(dataCentre, 0),
					Optional.ofNullable(planned.get(dataCentre)), now));
	}

	private Map<String, Integer> plan(Pool pool, PoolProvision provision, Map<String, Integer> serving, long now) {
		Map<String, Integer> initial = new TreeMap<>();
		Set<String> unavailable = new HashSet<>();
		provision.counts().keySet().forEach((dataCentre) -> {
			initial.put(dataCentre, initial(pool, provision, dataCentre, serving.getOrDefault(dataCentre, 0)));
			if (this.records.isUnavailable(new Subject(pool.name(), dataCentre, EndpointKind.RECLAIMABLE))) {
				unavailable.add(dataCentre);
			}
		});
		Map<String, Integer> plan = this.targets.plan(pool, initial, serving, unavailable, now);
		if (!plan.isEmpty() && !plan.equals(this.plans.put(pool.name(), plan))) {
			double need = neededEndpoints(pool.name(), now).orElse(0);
			this.actions.planned(pool.name(), plan, need, this.demandComplete);
		}
		return plan;
	}

	// Not less than what serves: another holder may have ordered it for the demand.
	// Before that, permanent endpoints may serve beside their replacements.
	private int initial(Pool pool, PoolProvision provision, String dataCentre, int serving) {
		int fixed = fixedTarget(pool, provision, dataCentre);
		int max = pool.scaling().orElseThrow().max();
		return (provision.isWithoutPermanent(dataCentre)) ? Math.max(fixed, Math.min(max, serving)) : fixed;
	}

	private int fixedTarget(Pool pool, PoolProvision provision, String dataCentre) {
		int base = provision.counts().get(dataCentre);
		return Math.min(pool.scaling().orElseThrow().max(), (int) Math.ceil(base * this.reserve));
	}

	private void record(Pool pool, PoolProvision provision) {
		this.outstanding = true;
		this.actions.record(pool.name(), provision);
	}

	private boolean step(Pool pool, PoolProvision provision, String dataCentre, int serving, Optional<Integer> planned,
			long now) {
		PoolScaling scaling = pool.scaling().orElseThrow();
		int base = provision.counts().get(dataCentre);
		int target = fixedTarget(pool, provision, dataCentre);
		// What there is room for beside the permanent endpoints.
		int first = Math.min(target, scaling.max() - base);
		if (first <= 0) {
			return false;
		}
		Subject reclaimable = new Subject(pool.name(), dataCentre, EndpointKind.RECLAIMABLE);
		Subject permanent = new Subject(pool.name(), dataCentre, EndpointKind.PERMANENT);
		boolean withoutPermanent = provision.isWithoutPermanent(dataCentre);
		if (this.records.isOrdered(permanent, 0) && planned.isPresent() && !withoutPermanent) {
			record(pool, provision.withoutPermanent(dataCentre));
			return true;
		}
		if (this.records.isOrdered(permanent, 0) || withoutPermanent) {
			int unplanned = (withoutPermanent)
					? this.records.confirmed(reclaimable).orElse(initial(pool, provision, dataCentre, serving))
					: target;
			int count = planned.orElse(unplanned);
			return orderIfNew(reclaimable, count, now) || orderIfLacking(reclaimable, count, serving, scaling, now);
		}
		if (provision.replaced().contains(dataCentre)) {
			// Another holder may have ended before it ordered the permanent ones away,
			// and the reclaimable ones may be gone since.
			boolean booted = this.records.isOrdered(reclaimable, first)
					&& this.records.hasBooted(reclaimable, scaling.boot(), now) && serving >= first * SERVING_PART;
			boolean sufficient = booted || serving >= Math.min(target, base + first) * SERVING_PART;
			return (sufficient) ? orderIfNew(permanent, 0, now)
					: orderIfNew(reclaimable, first, now) || orderIfLacking(reclaimable, first, serving, scaling, now);
		}
		if (this.records.isOrdered(reclaimable, first) && serving >= base + first * SERVING_PART) {
			record(pool, new PoolProvision(provision.counts(), Set.of(dataCentre)));
			return true;
		}
		return orderIfNew(reclaimable, first, now) || orderIfLacking(reclaimable, first, serving - base, scaling, now);
	}

	private boolean orderIfNew(Subject subject, int count, long now) {
		return !this.records.isOrdered(subject, count) && order(subject, count, now);
	}

	private boolean orderIfLacking(Subject subject, int count, int serving, PoolScaling scaling, long now) {
		boolean lacking = serving < count * LACKING_PART && this.records.hasBooted(subject, scaling.boot(), now);
		return lacking && order(subject, count, now);
	}

	private boolean order(Subject subject, int count, long now) {
		OrderRecord record = this.records.of(subject, now);
		if (record.isDelayed(now)) {
			return false;
		}
		record.ordered(now);
		this.outstanding = true;
		this.backoff.called(now);
		this.actions.send(new EndpointOrder(subject, count), this.currentFencingNumber);
		return true;
	}

	/**
	 * Return the highest number of endpoints that the demand for a pool needed within the
	 * last half minute.
	 * @param pool the name of the pool
	 * @param now the monotonic time in nanoseconds
	 * @return the number, empty if it is not known
	 */
	public OptionalDouble neededEndpoints(String pool, long now) {
		return this.targets.peak(pool, now);
	}

	/**
	 * Handle the provisions of all pools.
	 * @param fencingNumber the fencing number of the lease when they were asked for
	 * @param recorded the provisions by the names of the pools
	 */
	public void stateRead(long fencingNumber, Map<String, PoolProvision> recorded) {
		if (isCurrent(fencingNumber)) {
			this.outstanding = false;
			this.stateKnown = true;
			this.provisions = new TreeMap<>(recorded);
		}
	}

	/**
	 * Take over what is recorded while the lease is not held: the rates of endpoints are
	 * learned then, too. Has no effect while it is held.
	 * @param recorded the provisions by the names of the pools
	 */
	public void provisionsSeen(Map<String, PoolProvision> recorded) {
		if (!this.holds) {
			this.provisions = new TreeMap<>(recorded);
		}
	}

	/**
	 * Handle a provision that was recorded.
	 * @param fencingNumber the fencing number of the lease when that was asked for
	 * @param pool the name of the pool
	 * @param provision what holds for it
	 */
	public void provisionRecorded(long fencingNumber, String pool, PoolProvision provision) {
		if (isCurrent(fencingNumber)) {
			this.outstanding = false;
			this.provisions.put(pool, provision);
		}
	}

	/**
	 * Handle the platform's answer to an order.
	 * @param fencingNumber the fencing number that was sent
	 * @param order the order
	 * @param answer the answer
	 * @param now the monotonic time in nanoseconds
	 */
	public void answered(long fencingNumber, EndpointOrder order, DutyAnswer answer, long now) {
		if (!isCurrent(fencingNumber)) {
			return;
		}
		this.outstanding = false;
		OrderRecord record = this.records.of(order.subject(), now);
		switch (answer) {
			case ACCEPTED -> accepted(order, record);
			case FENCED -> refused(order, record, now);
			case REFUSED -> record.delay(now + STEP_TIMEOUT_NANOS);
			case BUSY, UNAVAILABLE, NOT_SENT -> this.backoff.failed(now);
			case UNANSWERED -> unanswered(now);
		}
	}

	private void accepted(EndpointOrder order, OrderRecord record) {
		record.accepted(order.count());
		this.unanswered = 0;
		this.backoff.succeeded();
	}

	private void refused(EndpointOrder order, OrderRecord record, long now) {
		record.delay(now + UNAVAILABLE_NANOS);
		if (record.refused() >= MAX_REFUSALS || order.subject().kind() == EndpointKind.PERMANENT) {
			record.resetRefusals();
			release(0);
		}
	}

	private void unanswered(long now) {
		this.backoff.failed(now);
		this.unanswered++;
		if (this.unanswered < MAX_UNANSWERED) {
			release(0);
		}
		else {
			this.unanswered = 0;
			release(ABSTAIN_NANOS);
		}
	}

	private void release(long abstainNanos) {
		this.givenUp = true;
		this.actions.release(this.currentFencingNumber, abstainNanos);
	}

	/**
	 * Handle a step other than an order that failed. It is repeated.
	 * @param fencingNumber the fencing number of the lease when it was begun
	 * @param now the monotonic time in nanoseconds
	 */
	public void stepFailed(long fencingNumber, long now) {
		if (isCurrent(fencingNumber)) {
			this.outstanding = false;
			this.backoff.failed(now);
		}
	}

	private boolean isCurrent(long fencingNumber) {
		return fencingNumber == this.currentFencingNumber;
	}

}
