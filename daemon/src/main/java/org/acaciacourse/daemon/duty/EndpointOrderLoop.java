package org.acaciacourse.daemon.duty;

import java.util.Random;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

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
public final class EndpointOrderLoop implements AutoCloseable {

	/** The name of the duty and of its lease. */
	public static final String DUTY = "endpoint-orders";

	private static final Logger logger = LogManager.getLogger(EndpointOrderLoop.class);

	private static final long TICK_MILLIS = 100;

	private final DutyOptions.Orders options;

	private final ProvisionStore store;

	private final DutyMetrics metrics;

	private final DutyHolder holder;

	private final EndpointOrders orders;

	private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor((task) -> {
		Thread made = new Thread(task, DUTY);
		made.setDaemon(true);
		return made;
	});

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
		this.options = options.orders().orElseThrow();
		this.store = store;
		this.metrics = metrics;
		this.holder = new DutyHolder(DUTY, vm, holder, options.leaseTiming(), calls, this.executor);
		this.orders = new EndpointOrders(this.options.reserve(),
				new CallBackoff(options.callsPerSecond(), new Random()), new Steps());
	}

	/** Start the loop. */
	public void start() {
		this.executor.scheduleWithFixedDelay(this::tickSafely, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
	}

	// An exception that left this method would silently cancel the scheduled task.
	private void tickSafely() {
		try {
			this.orders.tick(this.holder.tick(), this.store.fleet(), this.store.pools(), System.nanoTime());
		}
		catch (RuntimeException ex) {
			logger.error("orders of endpoints failed; continuing with the next tick", ex);
		}
	}

	/**
	 * Stop and release the lease, so that the next holder need not wait until it expires.
	 */
	@Override
	public void close() {
		this.executor.shutdownNow();
		this.holder.close();
	}

	/** Carries out the steps of the orders. */
	private final class Steps implements EndpointOrderActions {

		@Override
		public void readState() {
			long number = EndpointOrderLoop.this.holder.number();
			handle(EndpointOrderLoop.this.store.provisions(), number,
					(provisions) -> EndpointOrderLoop.this.orders.stateRead(number, provisions));
		}

		@Override
		public void record(String pool, PoolProvision provision) {
			long number = EndpointOrderLoop.this.holder.number();
			handle(EndpointOrderLoop.this.store.record(pool, provision), number, (result) -> {
				logger.info("provision of pool {} is {}", pool, result.provision());
				EndpointOrderLoop.this.orders.provisionRecorded(number, pool, result.provision());
			});
		}

		@Override
		public void send(EndpointOrder order, long fencingNumber) {
			long startedAt = System.nanoTime();
			FencedCall call = EndpointOrderLoop.this.holder.call(fencingNumber);
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
			EndpointOrderLoop.this.holder.giveUp(fencingNumber, abstainNanos);
		}

		private <T> void handle(CompletionStage<T> step, long number, Consumer<T> next) {
			step.whenCompleteAsync((result, failure) -> {
				if (failure != null) {
					logger.info("a step of the orders of endpoints failed and is repeated: {}", failure.toString());
					EndpointOrderLoop.this.orders.stepFailed(number, System.nanoTime());
				}
				else {
					next.accept(result);
				}
			}, EndpointOrderLoop.this.executor);
		}

	}

}
