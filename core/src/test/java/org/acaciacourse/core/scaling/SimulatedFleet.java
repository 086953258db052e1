package org.acaciacourse.core.scaling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

import org.acaciacourse.core.duty.CallBackoff;
import org.acaciacourse.core.duty.DutyAnswer;
import org.acaciacourse.core.route.Fleet;
import org.acaciacourse.core.route.FleetEndpoint;
import org.acaciacourse.core.route.Pool;
import org.acaciacourse.core.route.PoolScaling;
import org.acaciacourse.core.scaling.EndpointOrder.Subject;

/**
 * A platform with endpoints in several data centres, and the orders of one control VM, in
 * virtual time.
 */
class SimulatedFleet implements EndpointOrderActions {

	static final long SECOND = Duration.ofSeconds(1).toNanos();

	private static final long TICK = SECOND / 10;

	private static final long BOOT = 4 * SECOND;

	final List<EndpointOrder> carriedOut = new ArrayList<>();

	final Map<String, PoolProvision> provisions = new TreeMap<>();

	final Set<String> unavailable = new HashSet<>();

	final Pool pool;

	private final Map<Subject, Integer> ordered = new HashMap<>();

	private final Map<Subject, Integer> serving = new HashMap<>();

	private final Map<Subject, Long> bootedAt = new HashMap<>();

	private final Map<Subject, Long> highestNumbers = new HashMap<>();

	private final List<Late> late = new ArrayList<>();

	private EndpointOrders orders;

	/** What the entry VMs tell. */
	FleetDemand demand = FleetDemand.NONE;

	Optional<DutyAnswer> fault = Optional.empty();

	boolean carriedOutLate;

	long number = 1;

	long now = 100 * SECOND;

	int calls;

	int releases;

	private boolean released;

	SimulatedFleet(int max, double price, Map<String, Integer> permanent) {
		this(new Pool("pool", 100, 1, Optional.of(new PoolScaling(1, max, Duration.ofNanos(BOOT), price))), permanent);
	}

	SimulatedFleet(Pool pool, Map<String, Integer> permanent) {
		this.pool = pool;
		permanent.forEach((dataCentre, count) -> {
			this.ordered.put(subject(dataCentre, EndpointKind.PERMANENT), count);
			this.serving.put(subject(dataCentre, EndpointKind.PERMANENT), count);
		});
		takeOver();
	}

	static Subject subject(String dataCentre, EndpointKind kind) {
		return new Subject("pool", dataCentre, kind);
	}

	/** Another control VM holds the duty from now on, and knows what is recorded. */
	void takeOver() {
		this.number += 5;
		this.orders = new EndpointOrders(1.34, new CallBackoff(50, new Random(this.number)), this);
	}

	int serving(String dataCentre, EndpointKind kind) {
		return this.serving.getOrDefault(subject(dataCentre, kind), 0);
	}

	int ordered(String dataCentre) {
		return this.ordered.getOrDefault(subject(dataCentre, EndpointKind.PERMANENT), 0)
				+ this.ordered.getOrDefault(subject(dataCentre, EndpointKind.RECLAIMABLE), 0);
	}

	double needed() {
		return this.orders.neededEndpoints("pool", this.now).orElse(0);
	}

	int serving(String dataCentre) {
		return serving(dataCentre, EndpointKind.PERMANENT) + serving(dataCentre, EndpointKind.RECLAIMABLE);
	}

	/** The platform takes all reclaimable endpoints of a data centre back. */
	void reclaim(String dataCentre) {
		Subject subject = subject(dataCentre, EndpointKind.RECLAIMABLE);
		this.serving.put(subject, 0);
		this.ordered.put(subject, 0);
		this.unavailable.add(dataCentre);
	}

	void run(int seconds) {
		run(seconds, (fleet) -> {
		});
	}

	/** Let time pass and check something after each tick. */
	void run(int seconds, Consumer<SimulatedFleet> check) {
		for (long end = this.now + seconds * SECOND; this.now < end; this.now += TICK) {
			if (this.released) {
				this.released = false;
				this.number++;
			}
			List.copyOf(this.late).stream().filter((call) -> call.at() <= this.now).forEach((call) -> {
				this.late.remove(call);
				carryOut(call.order(), call.number());
			});
			boot();
			this.orders.tick(OptionalLong.of(this.number), fleet(), List.of(this.pool), this.demand, this.now);
			check.accept(this);
		}
	}

	private void boot() {
		this.bootedAt.entrySet().removeIf((entry) -> {
			boolean booted = entry.getValue() <= this.now;
			if (booted) {
				this.serving.put(entry.getKey(), this.ordered.get(entry.getKey()));
			}
			return booted;
		});
	}

	private Fleet fleet() {
		List<FleetEndpoint> endpoints = new ArrayList<>();
		this.serving.forEach((subject, count) -> {
			for (int i = 0; i < count; i++) {
				String name = subject.dataCentre() + subject.kind() + i;
				endpoints.add(new FleetEndpoint(name, "pool", "10.0.0.1:1", subject.dataCentre(), 4, false));
			}
		});
		return Fleet.of(endpoints);
	}

	@Override
	public void readState() {
		this.orders.stateRead(this.number, this.provisions);
	}

	@Override
	public void record(String poolName, PoolProvision provision) {
		PoolProvision held = this.provisions.merge(poolName, provision, PoolProvision::extendedBy);
		this.orders.provisionRecorded(this.number, poolName, held);
	}

	@Override
	public void send(EndpointOrder order, long fencingNumber) {
		this.calls++;
		if (this.carriedOutLate) {
			this.late.add(new Late(this.now + 8 * SECOND, order, fencingNumber));
			this.orders.answered(fencingNumber, order, DutyAnswer.UNANSWERED, this.now);
			return;
		}
		this.orders.answered(fencingNumber, order, this.fault.orElseGet(() -> carryOut(order, fencingNumber)),
				this.now);
	}

	private DutyAnswer carryOut(EndpointOrder order, long fencingNumber) {
		Subject subject = order.subject();
		// A number is compared for the pool and the data centre, whichever kind is
		// ordered.
		Subject fenced = subject(subject.dataCentre(), EndpointKind.PERMANENT);
		if (fencingNumber < this.highestNumbers.getOrDefault(fenced, 0L)) {
			return DutyAnswer.FENCED;
		}
		this.highestNumbers.put(fenced, fencingNumber);
		boolean reclaimable = subject.kind() == EndpointKind.RECLAIMABLE;
		if (reclaimable && this.unavailable.contains(subject.dataCentre())) {
			return DutyAnswer.FENCED;
		}
		EndpointKind otherKind = (reclaimable) ? EndpointKind.PERMANENT : EndpointKind.RECLAIMABLE;
		int other = this.ordered.getOrDefault(subject(subject.dataCentre(), otherKind), 0);
		if (order.count() + other > this.pool.scaling().orElseThrow().max()) {
			return DutyAnswer.REFUSED;
		}
		this.carriedOut.add(order);
		this.ordered.put(subject, order.count());
		if (order.count() < this.serving.getOrDefault(subject, 0)) {
			this.serving.put(subject, order.count());
		}
		this.bootedAt.put(subject, this.now + BOOT);
		return DutyAnswer.ACCEPTED;
	}

	@Override
	public void release(long fencingNumber, long abstainNanos) {
		this.releases++;
		this.released = true;
	}

	private record Late(long at, EndpointOrder order, long number) {
	}

}
