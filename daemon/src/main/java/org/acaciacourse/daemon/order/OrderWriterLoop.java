package org.acaciacourse.daemon.order;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.lease.LeaseTiming;
import org.acaciacourse.core.model.Endpoint;
import org.acaciacourse.core.model.Manifest;
import org.acaciacourse.core.order.DesiredEngine;
import org.acaciacourse.core.order.EngineOrder;
import org.acaciacourse.core.order.EngineState;
import org.acaciacourse.core.order.ModelLoadBudget;
import org.acaciacourse.core.order.OrderActions;
import org.acaciacourse.core.order.OrderTiming;
import org.acaciacourse.core.order.OrderWriter;
import org.acaciacourse.core.state.CommandResult.LeaseResult;
import org.acaciacourse.daemon.lease.LeaseCalls;
import org.acaciacourse.daemon.lease.LeaseGate;
import org.acaciacourse.daemon.process.FatalFaults;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Brings the engines to the state that the manifest describes, while this control VM
 * holds the lease for writing orders. It runs an {@link OrderWriter}, which only its
 * thread accesses; responses of engines and of the replicated state are handled on that
 * thread.
 * <p>
 * Thread safe: start and close are called once each, by any thread.
 */
public final class OrderWriterLoop implements AutoCloseable {

	/** The name of the lease. */
	public static final String LEASE = "engine-orders";

	private static final Logger logger = LogManager.getLogger(OrderWriterLoop.class);

	private static final long TICK_MILLIS = 100;

	private static final long RELEASE_SECONDS = 2;

	private static final int MAX_CONCURRENT_LOADS = 4;

	private static final double LOADS_PER_SECOND = 0.5;

	private final String holder;

	private final LeaseCalls calls;

	private final Supplier<Optional<Manifest>> manifests;

	private final OrderTiming timing;

	private final LeaseTiming leaseTiming = LeaseTiming.defaults();

	private final LeaseGate lease = new LeaseGate(this.leaseTiming);

	private final EngineOrderClient client = new EngineOrderClient();

	private final OrderWriter writer;

	private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor((task) -> {
		Thread made = new Thread(task, "orders");
		made.setDaemon(true);
		return made;
	});

	private Optional<Manifest> manifest = Optional.empty();

	private long heldFencingNumber;

	/**
	 * Create a loop.
	 * @param vm the name of the VM
	 * @param calls acquires and releases the lease
	 * @param manifests supplies the current manifest
	 * @param timing the intervals and timeouts of the writer
	 */
	public OrderWriterLoop(String vm, LeaseCalls calls, Supplier<Optional<Manifest>> manifests, OrderTiming timing) {
		this.holder = vm + "/" + UUID.randomUUID();
		this.calls = calls;
		this.manifests = manifests;
		this.timing = timing;
		this.writer = new OrderWriter(timing,
				new ModelLoadBudget(MAX_CONCURRENT_LOADS, LOADS_PER_SECOND, System.nanoTime()), new Sender());
	}

	/** Start the loop. */
	public void start() {
		this.executor.scheduleWithFixedDelay(this::tickSafely, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
	}

	// An exception that left this method would silently cancel the scheduled task.
	private void tickSafely() {
		try {
			tick();
		}
		catch (RuntimeException ex) {
			logger.error("order writer failed; continuing with the next tick", ex);
		}
		catch (Error ex) {
			FatalFaults.report(ex);
			throw ex;
		}
	}

	private void tick() {
		Optional<Manifest> next = this.manifests.get();
		if (!next.equals(this.manifest)) {
			this.manifest = next;
			next.ifPresent((m) -> this.writer.updateDesired(DesiredEngine.of(m), System.nanoTime()));
		}
		this.lease.requestIfDue().ifPresent(this::askForLease);
		OptionalLong number = this.lease.fencingNumber();
		number.ifPresent(this::recordFencingNumber);
		this.writer.tick(number, System.nanoTime());
	}

	private void recordFencingNumber(long number) {
		if (number != this.heldFencingNumber) {
			logger.info("acquired the lease for engine orders with fencing number {}", number);
			this.heldFencingNumber = number;
		}
	}

	private void askForLease(long request) {
		if (!this.calls.isCandidate()) {
			this.lease.refused(request, false);
			return;
		}
		long millis = TimeUnit.NANOSECONDS.toMillis(this.leaseTiming.durationNanos());
		this.calls.acquire(this.holder, millis).whenCompleteAsync((result, failure) -> {
			if (failure != null) {
				this.lease.refused(request, false);
			}
			else {
				handleLeaseResult(request, result);
			}
		}, this.executor);
	}

	private void handleLeaseResult(long request, LeaseResult result) {
		if (result.code() == ResultCode.OK) {
			this.lease.granted(request, result.fencingNumber());
		}
		else {
			this.lease.refused(request, result.code() == ResultCode.LEASE_HELD);
		}
	}

	private Optional<String> baseAddress(String endpoint) {
		return this.manifest.map(Manifest::endpoints)
			.map((endpoints) -> endpoints.get(endpoint))
			.map(Endpoint::address)
			.map((address) -> "http://" + address.getAuthority());
	}

	/**
	 * Stop and release the lease, so that the next holder need not wait until it expires.
	 */
	@Override
	public void close() {
		this.executor.shutdownNow();
		this.lease.release().ifPresent((number) -> {
			try {
				this.calls.release(this.holder, number).toCompletableFuture().get(RELEASE_SECONDS, TimeUnit.SECONDS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
			catch (ExecutionException | TimeoutException ex) {
				logger.info("cannot release the lease for engine orders: {}", ex.toString());
			}
		});
		this.client.close();
	}

	/** Sends the writer's requests; the responses are handled on the loop's thread. */
	private final class Sender implements OrderActions {

		@Override
		public void readState(String endpoint) {
			long number = OrderWriterLoop.this.heldFencingNumber;
			Optional<String> base = baseAddress(endpoint);
			if (base.isEmpty()) {
				reportFailure(endpoint, number);
				return;
			}
			OrderWriterLoop.this.client.read(base.get()).whenCompleteAsync((state, failure) -> {
				if (failure != null) {
					OrderWriterLoop.this.writer.requestFailed(endpoint, number, System.nanoTime());
				}
				else {
					handleState(endpoint, number, state);
				}
			}, OrderWriterLoop.this.executor);
		}

		private void handleState(String endpoint, long number, EngineState state) {
			OrderWriterLoop.this.writer.stateRead(endpoint, number, state);
		}

		@Override
		public void send(EngineOrder order) {
			Optional<String> base = baseAddress(order.endpoint());
			if (base.isEmpty()) {
				reportFailure(order.endpoint(), order.fencingNumber());
				return;
			}
			Duration timeout = Duration.ofNanos(OrderWriterLoop.this.timing.orderTimeoutNanos());
			OrderWriterLoop.this.client
				.send(base.get(), order, timeout, () -> OrderWriterLoop.this.lease.holds(order.fencingNumber()))
				.whenCompleteAsync((done, failure) -> handleOrderResult(order, done, failure),
						OrderWriterLoop.this.executor);
		}

		private void handleOrderResult(EngineOrder order, Boolean done, Throwable failure) {
			logger.info("order {} {} to endpoint {} with fencing number {}: {}", order.kind().label(), order.subject(),
					order.endpoint(), order.fencingNumber(),
					(failure != null) ? failure.toString() : (done) ? "done" : "refused");
			if (failure != null) {
				OrderWriterLoop.this.writer.requestFailed(order.endpoint(), order.fencingNumber(), System.nanoTime());
			}
			else if (done) {
				OrderWriterLoop.this.writer.orderCompleted(order);
			}
			else {
				OrderWriterLoop.this.writer.orderRefused(order, System.nanoTime());
			}
		}

		private void reportFailure(String endpoint, long number) {
			OrderWriterLoop.this.executor
				.execute(() -> OrderWriterLoop.this.writer.requestFailed(endpoint, number, System.nanoTime()));
		}

		@Override
		public void higherFencingNumberSeen(String endpoint, long fencingNumber) {
			logger.warn("{} endpoint {} has seen orders with a higher fencing number, {}", ResultCode.FENCED.number(),
					endpoint, fencingNumber);
		}

	}

}
