package org.acaciacourse.daemon.entry;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The requests of an entry VM that are not ended, their claims included. Their number is
 * bounded, so that a burst costs bounded memory whatever the policy makes of it.
 * <p>
 * Thread safe.
 */
final class OpenRequests {

	/** Most open requests. */
	static final int MAX = 20_000;

	private final Set<Exchange> requests = ConcurrentHashMap.newKeySet();

	private final AtomicInteger count = new AtomicInteger();

	/**
	 * Take a request in.
	 * @param exchange the request
	 * @return false if there are too many
	 */
	boolean add(Exchange exchange) {
		if (this.count.incrementAndGet() > MAX) {
			this.count.decrementAndGet();
			return false;
		}
		this.requests.add(exchange);
		return true;
	}

	void remove(Exchange exchange) {
		if (this.requests.remove(exchange)) {
			this.count.decrementAndGet();
		}
	}

	int count() {
		return this.count.get();
	}

	Set<Exchange> requests() {
		return this.requests;
	}

}
