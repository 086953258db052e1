package org.acaciacourse.core.speed;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The endpoints of which the next digests tell the speed. Each is told twice, because
 * datagrams may be lost.
 * <p>
 * Not thread safe.
 */
final class PendingNews {

	private static final int REPEATS = 2;

	private final Map<Integer, Integer> left = new LinkedHashMap<>();

	void add(int endpoint) {
		this.left.put(endpoint, REPEATS);
	}

	void remove(int endpoint) {
		this.left.remove(endpoint);
	}

	/**
	 * Remove and return the endpoints for a digest that is sent now.
	 * @param max how many it has room for
	 * @return the endpoints, those that have waited longest first
	 */
	List<Integer> take(int max) {
		List<Integer> taken = new ArrayList<>();
		Iterator<Integer> all = this.left.keySet().iterator();
		while (all.hasNext() && taken.size() < max) {
			taken.add(all.next());
		}
		taken.forEach((endpoint) -> {
			int repeats = this.left.remove(endpoint) - 1;
			if (repeats > 0) {
				this.left.put(endpoint, repeats);
			}
		});
		return taken;
	}

}
