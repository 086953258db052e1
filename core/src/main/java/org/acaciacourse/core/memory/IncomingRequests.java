package org.acaciacourse.core.memory;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which requests of callers are received while the memory budget is short. A
 * request that finds no room takes it from incomplete requests that hold more than it
 * will; the largest is refused first. A request is received completely only if another
 * one like it would still fit: many large ones leave room for small ones. From then on it
 * is not refused here.
 * <p>
 * Invariant: what requests hold is within the budget, but for the input that was read
 * while their responses are pending.
 * <p>
 * Not thread safe: belongs to one event loop. The budget may be shared with others.
 *
 * @param <R> the requests
 */
public final class IncomingRequests<R extends IncomingRequest> {

	private final MemoryBudget budget;

	private final Set<R> incomplete = new HashSet<>();

	/**
	 * Create the decisions of an event loop.
	 * @param budget the budget that the requests draw on
	 */
	public IncomingRequests(MemoryBudget budget) {
		this.budget = budget;
	}

	/**
	 * Take memory for a part of a request: the objects of its head, or what was received
	 * of its body.
	 * @param request the request
	 * @param bytes the bytes
	 * @return the decision
	 */
	public Decision<R> take(R request, long bytes) {
		Decision<R> decision = makeRoom(request, bytes);
		if (decision.isGranted()) {
			this.budget.change(MemoryUse.REQUESTS, bytes);
			request.take(bytes);
		}
		return decision;
	}

	/**
	 * Decide whether a body may be read. Nothing is taken: a caller that announces bytes
	 * and does not send them must not keep others out.
	 * @param request the request
	 * @param bytes the bytes that its caller announced
	 * @return the decision
	 */
	public Decision<R> announceBody(R request, long bytes) {
		return (leavesRoom(request, bytes)) ? makeRoom(request, bytes) : new Decision<>(false, List.of());
	}

	/**
	 * Record how much the decoder of a connection holds of input that is incomplete.
	 * @param request the request that the input belongs to
	 * @param bytes the bytes
	 * @return the decision
	 */
	public Decision<R> buffer(R request, long bytes) {
		long more = bytes - request.buffered();
		Decision<R> decision = (more > 0) ? makeRoom(request, more) : Decision.granted(List.of());
		if (decision.isGranted()) {
			change(request, more);
		}
		return decision;
	}

	/**
	 * Record input that is held while the response to a complete request is pending.
	 * Reading is paused then, so that it is bounded without regard to the budget.
	 * @param request the request
	 * @param bytes the bytes
	 */
	public void bufferPipelined(R request, long bytes) {
		change(request, bytes - request.buffered());
	}

	private void change(R request, long bytes) {
		this.budget.change(MemoryUse.REQUESTS, bytes);
		request.buffered(request.buffered() + bytes);
	}

	private Decision<R> makeRoom(R request, long bytes) {
		this.incomplete.add(request);
		List<R> refused = new ArrayList<>();
		while (bytes > this.budget.room(MemoryUse.REQUESTS)) {
			Optional<R> largest = this.incomplete.stream().max(Comparator.comparingLong(IncomingRequest::held));
			if (largest.isEmpty() || largest.get().held() <= request.held() + bytes) {
				return new Decision<>(false, List.copyOf(refused));
			}
			release(largest.get());
			refused.add(largest.get());
		}
		return Decision.granted(refused);
	}

	/**
	 * Record that a request was received completely.
	 * @param request the request
	 * @return false if it must be refused, as it would leave too little for others
	 */
	public boolean complete(R request) {
		this.incomplete.remove(request);
		return leavesRoom(request, 0);
	}

	// Incomplete requests count as room, as they are refused in favour of smaller ones.
	private boolean leavesRoom(R request, long bytes) {
		long evictable = this.incomplete.stream()
			.filter((other) -> other != request)
			.mapToLong(IncomingRequest::held)
			.sum();
		boolean alone = this.budget.used(MemoryUse.REQUESTS) - evictable == request.held();
		long left = this.budget.room(MemoryUse.REQUESTS) + evictable - bytes;
		return alone || left >= request.held() + bytes;
	}

	/**
	 * Give back all that a request holds: its response was written, it was refused, or
	 * its connection is closed. It may take memory again, for the next request.
	 * @param request the request
	 */
	public void release(R request) {
		this.incomplete.remove(request);
		this.budget.change(MemoryUse.REQUESTS, -request.held());
		request.clear();
	}

	/**
	 * Whether a request gets the memory that it needs.
	 *
	 * @param <R> the requests
	 * @param isGranted whether it does; otherwise nothing was taken for it
	 * @param refused the requests that are to be refused, which hold nothing any more
	 */
	public record Decision<R>(boolean isGranted, List<R> refused) {

		private static <R> Decision<R> granted(List<R> refused) {
			return new Decision<>(true, List.copyOf(refused));
		}

	}

}
