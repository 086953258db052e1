package org.acaciacourse.core.share;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The work of customers that other entry VMs tell in their digests. It decays from its
 * arrival on like the sender's own sums, and counts as nothing once the sender has been
 * silent for the time after which its load expires.
 * <p>
 * While there is a view of all VMs, the digests are ignored.
 * <p>
 * Not thread safe: belongs to one {@link CustomerShares}.
 */
final class PeerWork {

	/** As for the load in digests. */
	static final long EXPIRY_NANOS = 1_200_000_000L;

	private final Map<String, Map<Integer, Told>> digests = new HashMap<>();

	private final Map<Integer, Told> view = new HashMap<>();

	private String viewSender = "";

	/**
	 * Take over a part of a digest.
	 * @param sender the VM that sent it
	 * @param part the index of the part
	 * @param parts the number of parts
	 * @param works the works in it
	 * @param now the time
	 */
	void receive(String sender, int part, int parts, CustomerWorks works, long now) {
		replace(this.digests.computeIfAbsent(sender, (vm) -> new HashMap<>()), part, parts,
				new Told(works, CustomerWorks.NONE, now, now));
	}

	/**
	 * Take over a part of a view of all VMs.
	 * @param sender the VM that sent it
	 * @param part the index of the part
	 * @param parts the number of parts
	 * @param works the works in it
	 * @param own the works of this VM that are included in the view
	 * @param ownAt when this VM told them
	 * @param now the time
	 */
	void receiveView(String sender, int part, int parts, CustomerWorks works, CustomerWorks own, long ownAt, long now) {
		if (!sender.equals(this.viewSender)) {
			this.view.clear();
			this.viewSender = sender;
		}
		replace(this.view, part, parts, new Told(works, own, ownAt, now));
	}

	private static void replace(Map<Integer, Told> all, int part, int parts, Told next) {
		all.put(part, next);
		all.keySet().removeIf((index) -> index >= parts);
	}

	void dropView() {
		this.view.clear();
		this.viewSender = "";
	}

	void expire(long now) {
		expire(this.view.values(), now);
		this.digests.values().forEach((parts) -> expire(parts.values(), now));
		this.digests.values().removeIf(Map::isEmpty);
	}

	private static void expire(Collection<Told> all, long now) {
		all.removeIf((told) -> now - told.at() > EXPIRY_NANOS);
	}

	boolean isAnyKnown() {
		return !this.view.isEmpty() || !this.digests.isEmpty();
	}

	// Adds the work of all other VMs.
	void addAll(ToldWork sum, long now) {
		if (this.view.isEmpty()) {
			addDigests(sum, (sender) -> true, now);
		}
		this.view.values().forEach((told) -> told.addTo(sum, now));
		// The parts tell different customers, so that what is this VM's is taken out of
		// their sum.
		this.view.values().stream().limit(1).forEach((told) -> told.removeOwn(sum, now));
	}

	// Adds the work of some VMs as they told it themselves.
	void addDigests(ToldWork sum, Predicate<String> senders, long now) {
		this.digests.forEach((sender, parts) -> {
			if (senders.test(sender)) {
				parts.values().forEach((told) -> told.addTo(sum, now));
			}
		});
	}

	private record Told(CustomerWorks works, CustomerWorks own, long ownAt, long at) {

		private void addTo(ToldWork sum, long now) {
			if (now - this.at <= EXPIRY_NANOS) {
				sum.add(this.works, RecentWork.remaining(now - this.at));
			}
		}

		private void removeOwn(ToldWork sum, long now) {
			sum.remove(this.own, RecentWork.remaining(now - this.ownAt));
		}

	}

}
