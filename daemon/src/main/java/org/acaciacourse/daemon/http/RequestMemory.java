package org.acaciacourse.daemon.http;

import io.netty.util.internal.PlatformDependent;
import org.acaciacourse.core.code.LogRateLimiter;
import org.acaciacourse.core.memory.IncomingRequests;
import org.acaciacourse.core.memory.MemoryBudget;
import org.acaciacourse.core.memory.MemoryUse;
import org.acaciacourse.daemon.telemetry.DecisionLog;
import org.acaciacourse.daemon.telemetry.LogEvent;

/**
 * Keeps the requests of an event loop within the memory budget of the process, and
 * refuses those for which {@link IncomingRequests} has no room.
 * <p>
 * Not thread safe: belongs to the event loop.
 */
final class RequestMemory {

	private static final int MAX_LINES_PER_SECOND = 10;

	private final MemoryBudget budget;

	private final IncomingRequests<HeldRequest> requests;

	private final LogRateLimiter lines = new LogRateLimiter(MAX_LINES_PER_SECOND, System.nanoTime());

	RequestMemory(MemoryBudget budget) {
		this.budget = budget;
		this.requests = new IncomingRequests<>(budget);
	}

	/**
	 * Return the budget of a process whose settings name none.
	 * @return a part of the memory of the process
	 */
	static MemoryBudget ofProcess() {
		return new MemoryBudget(
				MemoryBudget.limitOfProcess(Runtime.getRuntime().maxMemory(), PlatformDependent.maxDirectMemory()));
	}

	/**
	 * Take memory for a part of a request: the objects of its head, for which see
	 * {@link HeadCost}, or what was received of its body.
	 * @param request the request
	 * @param bytes the bytes
	 * @return whether there is room; if not, nothing is taken
	 */
	boolean take(HeldRequest request, long bytes) {
		return apply(this.requests.take(request, bytes), bytes);
	}

	/**
	 * Return whether a body may be read. Nothing is taken.
	 * @param request the request
	 * @param bytes the bytes that its caller announced
	 * @return whether there is room for them now
	 */
	boolean hasRoomForBody(HeldRequest request, long bytes) {
		return apply(this.requests.announceBody(request, bytes), bytes);
	}

	/**
	 * Take memory for input that is incomplete.
	 * @param request the request that it belongs to
	 * @param bytes the size of the buffer that holds it
	 * @return whether there is room; if not, nothing more is taken
	 */
	boolean buffer(HeldRequest request, long bytes) {
		return apply(this.requests.buffer(request, bytes), bytes);
	}

	/**
	 * Count input that waits for the response to a request that precedes it.
	 * @param request the request
	 * @param bytes the size of the buffer that holds the input
	 */
	void bufferPipelined(HeldRequest request, long bytes) {
		this.requests.bufferPipelined(request, bytes);
	}

	/**
	 * Record that a request was received completely.
	 * @param request the request
	 * @return whether it leaves room for others; if not, it must be refused
	 */
	boolean complete(HeldRequest request) {
		boolean leavesRoom = this.requests.complete(request);
		if (!leavesRoom) {
			log(request.held(), 0);
		}
		return leavesRoom;
	}

	void release(HeldRequest request) {
		this.requests.release(request);
	}

	private boolean apply(IncomingRequests.Decision<HeldRequest> decision, long bytes) {
		if (!decision.isGranted() || !decision.refused().isEmpty()) {
			log(bytes, decision.refused().size());
		}
		decision.refused().forEach(HeldRequest::refuse);
		return decision.isGranted();
	}

	private void log(long bytes, int refused) {
		this.lines.tryAcquire(System.nanoTime())
			.ifPresent((untold) -> DecisionLog.write(LogEvent.REQUEST_WITHOUT_MEMORY, bytes, refused,
					this.budget.used(MemoryUse.REQUESTS), this.budget.used(), this.budget.limit(), untold));
	}

}
