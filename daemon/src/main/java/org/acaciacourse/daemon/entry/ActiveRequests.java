package org.acaciacourse.daemon.entry;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The requests of an entry VM that have not ended or whose claims are not completed.
 * Their number is limited, so that a burst needs bounded memory under any policy.
 * <p>
 * Thread safe.
 */
final class ActiveRequests {

	/** Maximum number of active requests. */
	static final int MAX = 20_000;

	private final Set<ActiveRequest> requests = ConcurrentHashMap.newKeySet();

	private final AtomicInteger count = new AtomicInteger();

	/**
	 * Add a request.
	 * @param request the request
	 * @return false if the limit is reached
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
