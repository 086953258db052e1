package org.acaciacourse.daemon.duty;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import org.acaciacourse.core.duty.CallBackoff;
import org.acaciacourse.core.duty.DutyAnswer;
import org.acaciacourse.core.route.Pool;
import org.acaciacourse.core.scaling.EndpointOrder;
import org.acaciacourse.core.scaling.EndpointOrder.Subject;
import org.acaciacourse.core.scaling.EndpointOrderActions;
import org.acaciacourse.core.scaling.EndpointOrders;
import org.acaciacourse.core.scaling.FleetDemand;
import org.acaciacourse.core.scaling.PoolProvision;
import org.acaciacourse.daemon.telemetry.DecisionLog;
import org.acaciacourse.daemon.telemetry.LogEvent;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Orders endpoints from the platform while this control VM holds the lease for it. It
 * runs {@link EndpointOrders}, which only its thread accesses; all results are handled on
 * that thread.
 * <p>
 * Thread safe: start and close are called once each, by any thread.
 */
public final class EndpointOrderLoop extends DutyLoop {

	/** The name of the duty and of its lease. */
	public static final String DUTY = "endpoint-orders";

	private static final Logger logger = LogManager.getLogger(EndpointOrderLoop.class);

	/** Entry VMs tell their demand once a second. */
	private static final long DEMAND_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	/** They are recorded once in the life of a pool. */
	private static final long PROVISIONS_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(5);

	private final DutyOptions.Orders options;

	private final ProvisionStore store;

	private final DutyMetrics metrics;

	private final EndpointOrders orders;

	private FleetDemand demand = FleetDemand.NONE;

	private long demandAddedAt = System.nanoTime() - DEMAND_PERIOD_NANOS;

	private long provisionsAskedAt = System.nanoTime() - PROVISIONS_PERIOD_NANOS;

	/**
	 * Create a loop.
	 * @param vm the name of the VM
	 * @param holder the id of this process as a holder of leases
	 * @param options the options of the duties, with those of orders
	 * @param calls acquires and releases the lease
	 * @param store what the orders are based on
	 * @param metrics takes the results
	 */
	public EndpointOrderLoop(String vm, String holder, DutyOptions options, DutyLeaseCalls calls, ProvisionStore store,
			DutyMetrics metrics) {
		super(DUTY, vm, holder, options, calls);
		this.options = options.orders().orElseThrow();
		this.store = store;
		this.metrics = metrics;
		this.orders = new EndpointOrders(this.options.reserve(),
				new CallBackoff(options.callsPerSecond(), new Random()), new Steps());
	}

	@Override
	void tick() {
		long now = System.nanoTime();
		OptionalLong number = holder().tick();
		if (number.isEmpty() && now - this.provisionsAskedAt >= PROVISIONS_PERIOD_NANOS) {
			this.provisionsAskedAt = now;
			handle(this.store.provisions(), 0, this.orders::provisionsSeen);
		}
		List<Pool> pools = this.store.pools();
		this.orders.tick(number, this.store.fleet(), pools, demand(now), now);
		pools.forEach((pool) -> this.orders.neededEndpoints(pool.name(), now)
			.ifPresent((need) -> this.metrics.needed(pool.name(), need)));
		if (number.isEmpty()) {
			this.metrics.nothingPlanned();
		}
	}

	// Adding up the demand of all entry VMs takes longer than the rest of a tick.
	private FleetDemand demand(long now) {
		if (now - this.demandAddedAt >= DEMAND_PERIOD_NANOS) {
			this.demandAddedAt = now;
			this.demand = this.store.demand();
		}
		return this.demand;
	}

	@Override
	void stepFailed(long fencingNumber) {
		this.orders.stepFailed(fencingNumber, System.nanoTime());
	}

	/** Carries out the steps of the orders. */
	private final class Steps implements EndpointOrderActions {

		@Override
		public void readState() {
			long number = holder().number();
			handle(EndpointOrderLoop.this.store.provisions(), number,
					(provisions) -> EndpointOrderLoop.this.orders.stateRead(number, provisions));
		}

		@Override
		public void record(String pool, PoolProvision provision) {
			long number = holder().number();
			handle(EndpointOrderLoop.this.store.record(pool, provision), number, (result) -> {
				logger.info("provision of pool {} is {}", pool, result.provision());
				EndpointOrderLoop.this.orders.provisionRecorded(number, pool, result.provision());
			});
		}

		@Override
		public void send(EndpointOrder order, long fencingNumber) {
			long startedAt = System.nanoTime();
			FencedCall call = holder().call(fencingNumber);
			handle(EndpointOrderLoop.this.options.platform().order(order, call), fencingNumber,
					(answer) -> handleAnswer(order, fencingNumber, answer, startedAt));
		}

		private void handleAnswer(EndpointOrder order, long fencingNumber, DutyAnswer answer, long startedAt) {
			long now = System.nanoTime();
			Subject subject = order.subject();
			DecisionLog.write(LogEvent.DUTY_CALL, DUTY,
					subject.pool() + " " + subject.dataCentre() + " " + subject.kind().label() + " " + order.count(),
					fencingNumber, answer.label(), TimeUnit.NANOSECONDS.toMillis(now - startedAt), null);
			EndpointOrderLoop.this.metrics.called(DUTY, answer, false);
			EndpointOrderLoop.this.orders.answered(fencingNumber, order, answer, now);
		}

		@Override
		public void planned(String pool, Map<String, Integer> plan, double need, boolean complete) {
			DecisionLog.write(LogEvent.ENDPOINTS_PLANNED, pool, plan.toString(), Math.round(need * 10) / 10.0,
					complete);
			EndpointOrderLoop.this.metrics.planned(pool, plan);
		}

		@Override
		public void release(long fencingNumber, long abstainNanos) {
			holder().giveUp(fencingNumber, abstainNanos);
		}

	}

}
