package org.acaciacourse.daemon.route;

import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.acaciacourse.core.balance.PlacementQueue;

/**
 * Tries to place the waiting requests of a pool on its endpoints in their order: when a
 * request arrives, and every few milliseconds while any request waits.
 * <p>
 * Not thread safe: belongs to the event loop.
 */
final class PoolQueue {

	/**
	 * An engine reads about a thousand tokens in this time; with a shorter interval
	 * little would have changed between two runs.
	 */
	private static final long PLACEMENT_INTERVAL_MILLIS = 15;

	/**
	 * A run stops after this number of requests that could not be placed: the remaining
	 * ones are less urgent, and choosing an endpoint takes processor time. Requests that
	 * only some endpoints can serve say nothing of the others.
	 */
	private static final int MAX_MISSES = 6;

	private final PlacementQueue<RoutedExchange> waiting = new PlacementQueue<>();

	private final EventLoop loop;

	private boolean scheduled;

	PoolQueue(EventLoop loop) {
		this.loop = loop;
	}

	void add(RoutedExchange exchange, int urgency, boolean overShare, long dueAt) {
		this.waiting.add(exchange, urgency, overShare, dueAt);
		placeWaiting();
	}

	void remove(RoutedExchange exchange) {
		this.waiting.remove(exchange);
	}

	int size() {
		return this.waiting.size();
	}

	private void placeWaiting() {
		int misses = 0;
		boolean slotFree = true;
		for (RoutedExchange exchange : this.waiting.inOrder()) {
			if (misses >= MAX_MISSES) {
				break;
			}
			// With no slot free for one request over share, there is none for the next.
			// They must not keep less urgent requests from being placed.
			if (exchange.share().needsFreeSlot()) {
				slotFree = slotFree && exchange.share().mayBePlaced() && exchange.tryPlace();
				continue;
			}
			misses += (exchange.tryPlace() || exchange.isBoundToVersion()) ? 0 : 1;
		}
		if (this.waiting.size() > 0 && !this.scheduled) {
			this.scheduled = true;
			this.loop.schedule(this::runScheduled, PLACEMENT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	private void runScheduled() {
		this.scheduled = false;
		placeWaiting();
	}

}
