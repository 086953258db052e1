package org.acaciacourse.daemon.duty;

import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.acaciacourse.daemon.process.FatalFaults;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The thread of a duty: it asks for the lease, carries out the steps of a state machine,
 * which only this thread accesses, and handles their results.
 * <p>
 * Thread safe: start and close are called once each, by any thread.
 */
public abstract class DutyLoop implements AutoCloseable {

	private static final Logger logger = LogManager.getLogger(DutyLoop.class);

	private static final long TICK_MILLIS = 100;

	private final String duty;

	private final ScheduledExecutorService executor;

	private final DutyHolder holder;

	/**
	 * Create a loop.
	 * @param duty the name of the duty and of its lease
	 * @param vm the name of the VM
	 * @param process the id of this process as a holder of leases
	 * @param options the options of the duties
	 * @param calls acquires and releases the lease
	 */
	DutyLoop(String duty, String vm, String process, DutyOptions options, DutyLeaseCalls calls) {
		this.duty = duty;
		this.executor = Executors.newSingleThreadScheduledExecutor((task) -> {
			Thread made = new Thread(task, duty);
			made.setDaemon(true);
			return made;
		});
		this.holder = new DutyHolder(duty, vm, process, options.leaseTiming(), calls, this.executor);
	}

	/** Start the loop. */
	public final void start() {
		this.executor.scheduleWithFixedDelay(this::tickSafely, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
	}

	// An exception that left this method would silently cancel the scheduled task.
	private void tickSafely() {
		try {
			tick();
		}
		catch (RuntimeException ex) {
			logger.error("duty {} failed; continuing with the next tick", this.duty, ex);
		}
		catch (Error ex) {
			FatalFaults.report(ex);
			throw ex;
		}
	}

	/** Carry out what is due. */
	abstract void tick();

	/**
	 * Handle the failure of a step. It is repeated.
	 * @param fencingNumber the fencing number of the lease when it was begun
	 */
	abstract void stepFailed(long fencingNumber);

	final DutyHolder holder() {
		return this.holder;
	}

	/**
	 * Handle the result of a step on the thread of this loop.
	 * @param <T> the type of the result
	 * @param step the step
	 * @param fencingNumber the fencing number of the lease when it was begun
	 * @param next handles the result
	 */
	final <T> void handle(CompletionStage<T> step, long fencingNumber, Consumer<T> next) {
		step.whenCompleteAsync((result, failure) -> {
			if (failure != null) {
				logger.info("a step of duty {} failed and is repeated: {}", this.duty, failure.toString());
				stepFailed(fencingNumber);
			}
			else {
				next.accept(result);
			}
		}, this.executor);
	}

	/**
	 * Stop and release the lease, so that the next holder need not wait until it expires.
	 */
	@Override
	public final void close() {
		this.executor.shutdownNow();
		this.holder.close();
	}

}
