package org.acaciacourse.core.balance;

import java.util.List;
import java.util.TreeMap;

/**
 * Sums of loads by endpoint. Invariant: adding loads and removing the same ones again
 * leaves no entry behind.
 * <p>
 * Not thread safe.
 */
final class LoadSums {

	// Sorted by endpoint, so that equal sums make equal digests.
	private final TreeMap<Integer, Sum> sums = new TreeMap<>();

	void add(List<PeerLoads.Load> loads) {
		loads.forEach((load) -> add(load, 1));
	}

	void remove(List<PeerLoads.Load> loads) {
		loads.forEach((load) -> add(load, -1));
	}

	private void add(PeerLoads.Load load, int sign) {
		Sum sum = this.sums.computeIfAbsent(load.endpoint(), (name) -> new Sum());
		sum.inFlight += sign * load.inFlight();
		sum.waitingWork += sign * load.waitingWork();
		sum.brief += sign * load.brief();
		if (sum.inFlight == 0 && sum.waitingWork == 0 && sum.brief == 0) {
			this.sums.remove(load.endpoint());
		}
	}

	int inFlight(int endpoint) {
		Sum sum = this.sums.get(endpoint);
		return (sum != null) ? sum.inFlight : 0;
	}

	long waitingWork(int endpoint) {
		Sum sum = this.sums.get(endpoint);
		return (sum != null) ? sum.waitingWork : 0;
	}

	int brief(int endpoint) {
		Sum sum = this.sums.get(endpoint);
		return (sum != null) ? sum.brief : 0;
	}

	boolean contains(int endpoint) {
		return this.sums.containsKey(endpoint);
	}

	/**
	 * Return the sums.
	 * @return one for each endpoint that has any load, ordered by endpoint
	 */
	List<PeerLoads.Load> all() {
		return this.sums.entrySet()
			.stream()
			.map((entry) -> new PeerLoads.Load(entry.getKey(), entry.getValue().inFlight, entry.getValue().waitingWork,
					entry.getValue().brief))
			.toList();
	}

	private static final class Sum {

		private int inFlight;

		private long waitingWork;

		private int brief;

	}

}
