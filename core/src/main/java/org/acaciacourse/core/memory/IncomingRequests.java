package org.acaciacourse.core.memory;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which requests of callers are received while the memory budget is short. A
 * request that needs memory takes it from incomplete requests that hold more than it: the
 * largest is refused first, so that callers who send small requests are served however
 * many others begin large ones. A complete request is never refused here.
 * <p>
 * Invariants: what requests hold is within the budget, but for the input that was read
 * while their responses are pending; a head leaves the budget room for smaller ones.
 * <p>
 * Not thread safe: belongs to one event loop. The budget may be shared with others.
 *
 * @param <R> the requests
 */
public final class IncomingRequests<R extends IncomingRequest> {

	/**
	 * How often a head must fit into what is left. Large heads are refused while there is
	 * still room for many small ones.
	 */
	private static final int HEAD_RESERVE_FACTOR = 4;

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
	 * Take memory for the objects of a complete head. A single request needs no more than
	 * it costs.
	 * @param request the request
	 * @param cost the bytes that they take
	 * @return the decision
	 */
	public Decision<R> takeHead(R request, long cost) {
		boolean alone = this.budget.used(MemoryUse.REQUESTS) == request.held();
		return take(request, cost, (alone) ? cost : HEAD_RESERVE_FACTOR * cost);
	}

	/**
	 * Take memory for what was received of a body.
	 * @param request the request
	 * @param bytes the bytes
	 * @return the decision
	 */
	public Decision<R> takeBody(R request, long bytes) {
		return take(request, bytes, bytes);
	}

	/**
	 * Decide whether a body may be read. Nothing is taken: a caller that announces bytes
	 * and does not send them must not keep others out.
	 * @param request the request
	 * @param bytes the bytes that its caller announced
	 * @return the decision
	 */
	public Decision<R> announceBody(R request, long bytes) {
		return take(request, 0, bytes);
	}

	/**
	 * Record how much the decoder of a connection holds of input that is incomplete.
	 * @param request the request that the input belongs to
	 * @param bytes the bytes
	 * @return the decision
	 */
	public Decision<R> buffer(R request, long bytes) {
		long more = bytes - request.buffered();
		if (more <= 0) {
			change(request, more);
			return Decision.granted(List.of());
		}
		Decision<R> decision = makeRoom(request, more);
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

	private Decision<R> take(R request, long bytes, long needed) {
		Decision<R> decision = makeRoom(request, needed);
		if (decision.isGranted()) {
			this.budget.change(MemoryUse.REQUESTS, bytes);
			request.take(bytes);
			this.incomplete.add(request);
		}
		return decision;
	}

	private Decision<R> makeRoom(R request, long needed) {
		this.incomplete.add(request);
		List<R> refused = new ArrayList<>();
		while (needed > this.budget.room(MemoryUse.REQUESTS)) {
			Optional<R> largest = this.incomplete.stream().max(Comparator.comparingLong(IncomingRequest::held));
			if (largest.isEmpty() || largest.get().held() <= request.held() + needed) {
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
	 */
	public void completed(R request) {
		this.incomplete.remove(request);
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
