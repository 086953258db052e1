package org.acaciacourse.daemon.memory;

import org.acaciacourse.core.code.LogRateLimiter;
import org.acaciacourse.core.memory.MemoryBudget;
import org.acaciacourse.core.memory.MemoryUse;
import org.acaciacourse.daemon.http.BodyBudget;
import org.acaciacourse.daemon.telemetry.DecisionLog;
import org.acaciacourse.daemon.telemetry.LogEvent;

/**
 * Keeps request bodies within the memory budget of an entry VM.
 * <p>
 * Not thread safe: belongs to the event loop.
 */
public final class RequestMemory implements BodyBudget {

	private static final int MAX_LINES_PER_SECOND = 10;

	private final MemoryBudget budget;

	private final LogRateLimiter lines = new LogRateLimiter(MAX_LINES_PER_SECOND, System.nanoTime());

	/**
	 * Create the memory of the request bodies of a VM.
	 * @param budget the budget that they draw on
	 */
	public RequestMemory(MemoryBudget budget) {
		this.budget = budget;
	}

	@Override
	public boolean take(long bytes) {
		boolean room = hasRoom(bytes);
		if (room) {
			this.budget.change(MemoryUse.REQUEST_BODIES, bytes);
		}
		return room;
	}

	@Override
	public boolean hasRoom(long bytes) {
		if (bytes <= this.budget.room(MemoryUse.REQUEST_BODIES)) {
			return true;
		}
		this.lines.tryAcquire(System.nanoTime())
			.ifPresent((untold) -> DecisionLog.write(LogEvent.BODY_REFUSED, bytes,
					this.budget.used(MemoryUse.REQUEST_BODIES), this.budget.used(), this.budget.limit(), untold));
		return false;
	}

	@Override
	public void release(long bytes) {
		this.budget.change(MemoryUse.REQUEST_BODIES, -bytes);
	}

}
