package org.acaciacourse.daemon.duty;

import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import org.acaciacourse.core.duty.CallBackoff;
import org.acaciacourse.core.duty.DutyAnswer;
import org.acaciacourse.core.usage.UsageActions;
import org.acaciacourse.core.usage.UsageReport;
import org.acaciacourse.core.usage.UsageReporter;
import org.acaciacourse.daemon.telemetry.DecisionLog;
import org.acaciacourse.daemon.telemetry.LogEvent;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Reports the usage of customers to the platform while this control VM holds the lease
 * for it. It runs a {@link UsageReporter}, which only its thread accesses; all results
 * are handled on that thread.
 * <p>
 * Thread safe: start and close are called once each, by any thread.
 */
public final class UsageLoop extends DutyLoop {

	/** The name of the duty and of its lease. */
	public static final String DUTY = "usage-reports";

	private static final Logger logger = LogManager.getLogger(UsageLoop.class);

	private final DutyOptions.Usage options;

	private final UsageStore store;

	private final DutyMetrics metrics;

	private final UsageReporter reporter;

	/**
	 * Create a loop.
	 * @param vm the name of the VM
	 * @param holder the id of this process as a holder of leases
	 * @param options the options of the duties, with those of usage reports
	 * @param calls acquires and releases the lease
	 * @param store the usage that the control VMs know
	 * @param metrics takes the results
	 */
	public UsageLoop(String vm, String holder, DutyOptions options, DutyLeaseCalls calls, UsageStore store,
			DutyMetrics metrics) {
		super(DUTY, vm, holder, options, calls);
		this.options = options.usage().orElseThrow();
		this.store = store;
		this.metrics = metrics;
		this.reporter = new UsageReporter(this.options.timing(),
				new CallBackoff(options.callsPerSecond(), new Random()), new Steps());
	}

	@Override
	void tick() {
		OptionalLong number = holder().tick();
		this.reporter.tick(number, this.store.timeMillis(), System.nanoTime());
		this.metrics.usage(number.orElse(0), this.reporter.frozenThrough(), this.reporter.reportedThrough(),
				this.reporter.unreported().size());
	}

	@Override
	void stepFailed(long fencingNumber) {
		this.reporter.stepFailed(fencingNumber, System.nanoTime());
	}

	/** Carries out the steps of the reporter. */
	private final class Steps implements UsageActions {

		@Override
		public void readState() {
			long number = holder().number();
			handle(UsageLoop.this.store.state(), number, (state) -> UsageLoop.this.reporter.stateRead(number, state));
		}

		@Override
		public void collect(long window) {
			long number = holder().number();
			handle(UsageLoop.this.store.collect(window), number,
					(collected) -> handleCollected(number, collected.report(), collected.missing()));
		}

		private void handleCollected(long number, UsageReport report, List<String> missing) {
			long now = UsageLoop.this.store.timeMillis();
			UsageLoop.this.reporter.collected(number, report, missing.isEmpty(), now);
			if (!missing.isEmpty()) {
				logger.info(
						"usage of window {} is not complete {} ms after its end: {} entry VMs are missing, among"
								+ " them {}",
						report.window(), now - end(report.window()), missing.size(), missing.get(0));
			}
		}

		@Override
		public void fixed(UsageReport report, boolean complete) {
			UsageLoop.this.metrics.windowFixed(complete);
			DecisionLog.write(LogEvent.USAGE_FIXED, report.window(), report.total(), report.counts().size(), complete,
					UsageLoop.this.store.timeMillis() - end(report.window()));
		}

		@Override
		public void freeze(UsageReport report, long reportedThrough) {
			long number = holder().number();
			handle(UsageLoop.this.store.freeze(report, reportedThrough), number,
					(result) -> UsageLoop.this.reporter.frozen(number, report.window(), result.report()));
		}

		@Override
		public void send(UsageReport report, long fencingNumber) {
			long startedAt = System.nanoTime();
			FencedCall call = holder().call(fencingNumber);
			handle(UsageLoop.this.options.platform().report(report, call), fencingNumber,
					(answer) -> handleAnswer(report, fencingNumber, answer, startedAt));
		}

		private void handleAnswer(UsageReport report, long fencingNumber, DutyAnswer answer, long startedAt) {
			long now = System.nanoTime();
			long lateMillis = UsageLoop.this.store.timeMillis() - end(report.window())
					- UsageLoop.this.options.due().toMillis();
			DecisionLog.write(LogEvent.DUTY_CALL, DUTY, report.window(), fencingNumber, answer.label(),
					TimeUnit.NANOSECONDS.toMillis(now - startedAt), (lateMillis > 0) ? lateMillis : null);
			UsageLoop.this.metrics.called(DUTY, answer, lateMillis > 0);
			UsageLoop.this.reporter.answered(fencingNumber, report.window(), answer, now);
		}

		@Override
		public void release(long fencingNumber, long abstainNanos) {
			holder().giveUp(fencingNumber, abstainNanos);
		}

		private long end(long window) {
			return UsageLoop.this.options.timing().windows().end(window);
		}

	}

}
