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
final class ActiveRequests {

	/** Most open requests. */
	static final int MAX = 20_000;

	private final Set<ActiveRequest> requests = ConcurrentHashMap.newKeySet();

	private final AtomicInteger count = new AtomicInteger();

	/**
	 * Take a request in.
	 * @param request the request
	 * @return false if there are too many
	 */
	boolean add(ActiveRequest request) {
		if (this.count.incrementAndGet() > MAX) {
			this.count.decrementAndGet();
			return false;
		}
		this.requests.add(request);
		return true;
	}

	void remove(ActiveRequest request) {
		if (this.requests.remove(request)) {
			this.count.decrementAndGet();
		}
	}

	int count() {
		return this.count.get();
	}

	Set<ActiveRequest> requests() {
		return this.requests;
	}

}
