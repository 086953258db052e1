package org.acaciacourse.daemon.duty;

import java.util.Random;
import java.util.concurrent.TimeUnit;

import org.acaciacourse.core.duty.CallBackoff;
import org.acaciacourse.core.duty.DutyAnswer;
import org.acaciacourse.core.scaling.EndpointOrder;
import org.acaciacourse.core.scaling.EndpointOrder.Subject;
import org.acaciacourse.core.scaling.EndpointOrderActions;
import org.acaciacourse.core.scaling.EndpointOrders;
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

	private final DutyOptions.Orders options;

	private final ProvisionStore store;

	private final DutyMetrics metrics;

	private final EndpointOrders orders;

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
		this.orders.tick(holder().tick(), this.store.fleet(), this.store.pools(), System.nanoTime());
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
		public void release(long fencingNumber, long abstainNanos) {
			holder().giveUp(fencingNumber, abstainNanos);
		}

	}

}
