package org.acaciacourse.daemon.route;

import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.acaciacourse.core.balance.PlacementQueue;

/**
 * Offers the waiting requests of a pool to its endpoints in their order: when one
 * arrives, and again after a few milliseconds while any waits.
 * <p>
 * Not thread safe: belongs to the event loop.
 */
final class PoolQueue {

	/**
	 * An engine reads a thousand tokens in this time; more often finds little that is
	 * new.
	 */
	private static final long PLACEMENT_INTERVAL_MILLIS = 15;

	/**
	 * After so many requests that find no place the rest waits for the next step: it is
	 * less urgent, and the choice takes time.
	 */
	private static final int MAX_MISSES = 6;

	private final PlacementQueue<RoutedExchange> waiting = new PlacementQueue<>();

	private final EventLoop loop;

	private boolean scheduled;

	PoolQueue(EventLoop loop) {
		this.loop = loop;
	}

	void add(RoutedExchange exchange, int urgency, long dueAt) {
		this.waiting.add(exchange, urgency, dueAt);
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
		for (RoutedExchange exchange : this.waiting.inOrder()) {
			if (misses >= MAX_MISSES) {
				break;
			}
			misses += (exchange.tryPlace()) ? 0 : 1;
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
