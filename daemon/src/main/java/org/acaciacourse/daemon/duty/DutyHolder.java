package org.acaciacourse.daemon.duty;

import java.util.OptionalLong;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.lease.LeaseTiming;
import org.acaciacourse.core.state.CommandResult.LeaseResult;
import org.acaciacourse.daemon.lease.LeaseGate;
import org.acaciacourse.daemon.telemetry.DecisionLog;
import org.acaciacourse.daemon.telemetry.LogEvent;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Holds the lease of a duty for its loop, or asks for it.
 * <p>
 * Invariant: a fencing number that was given up is not used again.
 * <p>
 * Not thread safe, but for the right to call: belongs to the thread of the loop, on which
 * the results of calls are handled.
 */
final class DutyHolder {

	private static final Logger logger = LogManager.getLogger(DutyHolder.class);

	private static final long RELEASE_SECONDS = 2;

	private final String duty;

	private final String vm;

	private final String holder;

	private final DutyLeaseCalls calls;

	private final Executor loop;

	private final LeaseTiming timing;

	private final LeaseGate lease;

	private long heldNumber;

	/** The highest fencing number that must not be used any more. */
	private long givenUpNumber;

	/**
	 * Create a holder that does not hold the lease yet.
	 * @param duty the name of the duty
	 * @param vm the name of the VM
	 * @param holder the id of this process as a holder of leases
	 * @param timing the timing of the lease
	 * @param calls acquires and releases the lease
	 * @param loop the thread of the loop
	 */
	DutyHolder(String duty, String vm, String holder, LeaseTiming timing, DutyLeaseCalls calls, Executor loop) {
		this.duty = duty;
		this.vm = vm;
		this.holder = holder;
		this.timing = timing;
		this.calls = calls;
		this.loop = loop;
		this.lease = new LeaseGate(timing);
	}

	/**
	 * Ask for the lease or renew it if that is due. Must be called regularly.
	 * @return the fencing number, if the lease is held now
	 */
	OptionalLong tick() {
		this.lease.requestIfDue().ifPresent(this::askForLease);
		OptionalLong number = this.lease.fencingNumber();
		if (number.orElse(0) != this.heldNumber) {
			log((number.isPresent()) ? "acquired" : "ended", number.orElse(this.heldNumber));
			this.heldNumber = number.orElse(0);
		}
		return number;
	}

	private void log(String state, long number) {
		DecisionLog.write(LogEvent.DUTY_HOLDER, this.duty, state, number);
	}

	/**
	 * Return the fencing number at the last tick.
	 * @return the number, 0 if the lease was not held
	 */
	long number() {
		return this.heldNumber;
	}

	/**
	 * Return the right to make a call with a fencing number.
	 * @param fencingNumber the number
	 * @return the right, which ends with the lease
	 */
	FencedCall call(long fencingNumber) {
		return new FencedCall(this.vm, fencingNumber, () -> this.lease.holds(fencingNumber));
	}

	/**
	 * Release the lease and do not use its number again.
	 * @param fencingNumber the number
	 * @param abstainNanos for how long this VM leaves the lease to the others
	 */
	void giveUp(long fencingNumber, long abstainNanos) {
		this.calls.abstain(abstainNanos);
		this.lease.release();
		this.givenUpNumber = fencingNumber;
		log("given-up", fencingNumber);
		this.calls.release(this.holder, fencingNumber);
	}

	private void askForLease(long request) {
		if (!this.calls.isCandidate()) {
			this.lease.refused(request, false);
			return;
		}
		long millis = TimeUnit.NANOSECONDS.toMillis(this.timing.durationNanos());
		this.calls.acquire(this.holder, millis).whenCompleteAsync((result, failure) -> {
			if (failure != null) {
				this.lease.refused(request, false);
			}
			else {
				handleResult(request, result);
			}
		}, this.loop);
	}

	private void handleResult(long request, LeaseResult result) {
		if (result.code() != ResultCode.OK) {
			this.lease.refused(request, result.code() == ResultCode.LEASE_HELD);
		}
		else if (result.fencingNumber() <= this.givenUpNumber) {
			// Its release did not reach the replicated state.
			this.lease.refused(request, true);
			this.calls.release(this.holder, result.fencingNumber());
		}
		else {
			this.lease.granted(request, result.fencingNumber());
		}
	}

	/** Release the lease, so that the next holder need not wait until it expires. */
	void close() {
		this.lease.release().ifPresent((number) -> {
			try {
				this.calls.release(this.holder, number).toCompletableFuture().get(RELEASE_SECONDS, TimeUnit.SECONDS);
				log("released", number);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
			catch (ExecutionException | TimeoutException ex) {
				logger.info("cannot release the lease for {}: {}", this.duty, ex.toString());
			}
		});
	}

}
