package org.acaciacourse.daemon.route;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.ObjLongConsumer;

import org.acaciacourse.core.route.Fleet;
import org.acaciacourse.daemon.control.FleetSource;
import org.acaciacourse.daemon.process.EssentialThread;
import org.acaciacourse.daemon.telemetry.DecisionLog;
import org.acaciacourse.daemon.telemetry.LogEvent;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Reads the platform's endpoint list on an entry VM while no control VM reports the
 * fleet. Endpoints join and leave without control, too, and requests to those that left
 * would be lost.
 * <p>
 * Thread safe.
 */
final class FleetFallback implements AutoCloseable {

	private static final Logger LOGGER = LogManager.getLogger(FleetFallback.class);

	/**
	 * Time without a report from control after which the list is read. An endpoint that
	 * is leaving accepts requests for 3 s after the platform lists it as leaving, and the
	 * list lags by about 0.8 s.
	 */
	private static final long CONTROL_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_600);

	private static final long CHECK_INTERVAL_MILLIS = 400;

	private static final long READ_INTERVAL_MILLIS = 1_000;

	private final FleetSource source;

	/** Receives the fleet, and when its read began. */
	private final ObjLongConsumer<Fleet> onFleet;

	private final CountDownLatch closed = new CountDownLatch(1);

	private volatile boolean controlLost;

	private volatile long confirmedAt = System.nanoTime();

	FleetFallback(FleetSource source, ObjLongConsumer<Fleet> onFleet) {
		this.source = source;
		this.onFleet = onFleet;
	}

	void start() {
		new EssentialThread(this::run, "fleet-fallback").start();
	}

	/**
	 * Note that a control VM reported the fleet.
	 * @param fleet the fleet
	 */
	void fleetConfirmed(Fleet fleet) {
		this.confirmedAt = System.nanoTime();
		if (this.controlLost) {
			this.controlLost = false;
			DecisionLog.write(LogEvent.CONTROL_REGAINED, Long.toHexString(fleet.revision()));
		}
	}

	private void run() {
		try {
			while (!this.closed.await(CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)) {
				long silentNanos = System.nanoTime() - this.confirmedAt;
				if (silentNanos > CONTROL_SILENCE_NANOS) {
					logControlLost(silentNanos);
					readFleet();
					this.closed.await(READ_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
				}
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void logControlLost(long silentNanos) {
		if (!this.controlLost) {
			this.controlLost = true;
			DecisionLog.write(LogEvent.CONTROL_LOST, TimeUnit.NANOSECONDS.toMillis(silentNanos));
		}
	}

	private void readFleet() throws InterruptedException {
		long readAt = System.nanoTime();
		try {
			this.onFleet.accept(this.source.read(), readAt);
		}
		catch (IOException | RuntimeException ex) {
			LOGGER.warn("no control VM reports the fleet, and the platform's endpoint list cannot be read: {}",
					ex.toString());
		}
	}

	@Override
	public void close() {
		this.closed.countDown();
	}

}
