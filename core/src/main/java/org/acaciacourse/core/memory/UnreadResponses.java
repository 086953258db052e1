package org.acaciacourse.core.memory;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Decides from which endpoints is read while callers do not read their responses, and
 * which responses are ended. Each response has a window that costs nothing; beyond it,
 * its endpoint is read on only while the budget lasts.
 * <p>
 * Invariants: a response within its window is neither paused nor ended for lack of
 * memory; the responses that are read on beyond their window fit into the budget with
 * their next read.
 * <p>
 * Not thread safe: belongs to the event loop.
 *
 * @param <R> the responses
 */
public final class UnreadResponses<R extends UnreadResponse> {

	/** The most bytes that are read from an endpoint at once. */
	public static final int READ_BYTES = 16 * 1024;

	/** The largest window of a response in bytes. */
	public static final int MAX_WINDOW_BYTES = 64 * 1024;

	/** Some events, so that a stream goes on however many others are not read. */
	private static final int MIN_WINDOW_BYTES = 4 * 1024;

	/**
	 * The part of the budget that the windows of all unread responses may take. With more
	 * responses than that the windows get smaller; many of the largest size would exceed
	 * the budget by themselves.
	 */
	private static final int WINDOWS_DIVISOR = 2;

	/**
	 * For how long the caller of a response that is ended for lack of memory has taken
	 * nothing. Callers that read in bursts pause for less.
	 */
	private static final long STALLED_NANOS = Duration.ofMillis(500).toNanos();

	private final MemoryBudget budget;

	private final long readLimitNanos;

	/** The responses of which bytes wait. */
	private final Set<R> waiting = new LinkedHashSet<>();

	/** The number of responses beyond their window that are read on. */
	private int readOn;

	/**
	 * Create the decisions of a VM.
	 * @param budget the budget that the responses draw on
	 * @param readLimitNanos for how many nanoseconds a caller may take nothing while
	 * bytes wait
	 */
	public UnreadResponses(MemoryBudget budget, long readLimitNanos) {
		this.budget = budget;
		this.readLimitNanos = readLimitNanos;
	}

	/**
	 * Return the responses of which bytes wait, so that they can be looked at again.
	 * @return a view
	 */
	public Collection<R> waiting() {
		return Collections.unmodifiableCollection(this.waiting);
	}

	/**
	 * Record how much of a response waits. A response that was ended takes nothing any
	 * more.
	 * @param response the response
	 * @param unread the bytes that its connection holds
	 * @param taken the bytes that its connection has sent; only a growth counts
	 * @param now the time in nanoseconds
	 */
	public void observe(R response, long unread, long taken, long now) {
		if (response.isEnded()) {
			return;
		}
		this.budget.change(MemoryUse.UNREAD_RESPONSES, unread - response.unread());
		response.observe(unread, taken, now);
		update(response);
	}

	private void update(R response) {
		if (response.unread() > 0 || response.isPaused()) {
			this.waiting.add(response);
		}
		else {
			this.waiting.remove(response);
		}
		boolean readOn = !response.isPaused() && response.unread() > window();
		if (readOn != response.isReadOn()) {
			response.readOn(readOn);
			this.readOn += (readOn) ? 1 : -1;
		}
	}

	/**
	 * Decide whether the endpoint of a response is read on, after bytes were written.
	 * @param response the response, which was observed last
	 * @return whether reading is to be paused
	 */
	public boolean pauses(R response) {
		if (response.isReadOn() && isUsedUp()) {
			response.paused(true);
			update(response);
		}
		return response.isPaused();
	}

	/**
	 * Decide whether a paused response is read on, after its caller has taken bytes.
	 * @param response the response, which was observed last
	 * @return whether reading is to be resumed
	 */
	public boolean resumes(R response) {
		boolean resumed = response.isPaused() && response.unread() <= window() / 2;
		if (resumed) {
			response.paused(false);
			update(response);
		}
		return resumed;
	}

	/**
	 * Record that nothing more is read from the endpoint of a response. What waits of it
	 * still counts.
	 * @param response the response
	 */
	public void sourceEnded(R response) {
		response.paused(false);
		update(response);
	}

	// Each response that is read on may add a read before it is looked at again.
	private boolean isUsedUp() {
		return this.budget.room(MemoryUse.UNREAD_RESPONSES) < (long) READ_BYTES * Math.max(1, this.readOn);
	}

	/**
	 * Decide which responses are read on or ended. All that wait must have been observed
	 * right before.
	 * @param now the time in nanoseconds
	 * @return what to do, in this order
	 */
	public List<Action<R>> decide(long now) {
		if (this.waiting.isEmpty()) {
			return List.of();
		}
		List<Action<R>> actions = new ArrayList<>();
		for (R response : List.copyOf(this.waiting)) {
			if (response.idleNanos(now) >= this.readLimitNanos) {
				actions.add(end(response, Reason.READ_LIMIT, now));
			}
		}
		for (Optional<R> next = nextToEnd(now); next.isPresent(); next = nextToEnd(now)) {
			actions.add(end(next.get(), Reason.NO_MEMORY, now));
		}
		resume(actions, now);
		return actions;
	}

	private Optional<R> nextToEnd(long now) {
		if (!isUsedUp()) {
			return Optional.empty();
		}
		long window = window();
		return this.waiting.stream()
			.filter((response) -> response.unread() > window && response.idleNanos(now) >= STALLED_NANOS)
			.max(Comparator.comparingLong(UnreadResponse::unread));
	}

	private Action<R> end(R response, Reason reason, long now) {
		Action<R> action = new Action<>(response, Optional.of(reason), response.unread(), response.idleNanos(now));
		this.budget.change(MemoryUse.UNREAD_RESPONSES, -response.unread());
		response.end();
		update(response);
		return action;
	}

	// Those that hold the least go on first: they are the ones whose callers read.
	private void resume(List<Action<R>> actions, long now) {
		List<R> paused = this.waiting.stream()
			.filter(UnreadResponse::isPaused)
			.sorted(Comparator.comparingLong(UnreadResponse::unread))
			.toList();
		for (R response : paused) {
			if (response.unread() > window() / 2 && !hasRoomForAnother()) {
				return;
			}
			response.paused(false);
			update(response);
			actions.add(new Action<>(response, Optional.empty(), response.unread(), response.idleNanos(now)));
		}
	}

	private boolean hasRoomForAnother() {
		return this.budget.room(MemoryUse.UNREAD_RESPONSES) >= (long) READ_BYTES * (this.readOn + 2);
	}

	/**
	 * Return the bytes of a response that may wait without regard to the budget.
	 * @return the window in bytes
	 */
	public long window() {
		long share = MemoryUse.UNREAD_RESPONSES.bound(this.budget.limit()) / WINDOWS_DIVISOR
				/ Math.max(1, this.waiting.size());
		return Math.max(MIN_WINDOW_BYTES, Math.min(share, MAX_WINDOW_BYTES));
	}

	/** Why a response is ended. */
	public enum Reason {

		/** Its caller took nothing for the longest time that is permitted. */
		READ_LIMIT("read-limit"),

		/**
		 * It holds the most of a budget that is used up, and its caller takes nothing.
		 */
		NO_MEMORY("memory");

		private final String label;

		Reason(String label) {
			this.label = label;
		}

		/**
		 * Return the name of the reason in logs and metrics.
		 * @return the label
		 */
		public String label() {
			return this.label;
		}

	}

	/**
	 * What to do with a response.
	 *
	 * @param <R> the responses
	 * @param response the response
	 * @param end why it is ended; empty if reading from its endpoint is resumed
	 * @param unread the bytes that waited for its caller
	 * @param idleNanos for how many nanoseconds its caller had taken nothing
	 */
	public record Action<R>(R response, Optional<Reason> end, long unread, long idleNanos) {
	}

}
