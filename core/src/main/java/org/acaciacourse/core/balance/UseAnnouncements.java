package org.acaciacourse.core.balance;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Uses of prompt parts that wait to be sent, each in two consecutive digests because
 * datagrams may be lost. Invariant: at most {@value #MAX_PENDING} are pending.
 * <p>
 * Not thread safe: belongs to one {@link LoadExchange}.
 */
final class UseAnnouncements {

	/** More than a group of VMs produces between two digests. */
	private static final int MAX_PENDING = 300;

	private final Set<PartUse> pending = new LinkedHashSet<>();

	private List<PartUse> announcedOnce = List.of();

	void add(Collection<PartUse> uses) {
		uses.stream().limit(Math.max(0, MAX_PENDING - this.pending.size())).forEach(this.pending::add);
	}

	/**
	 * Return the uses for a digest that is sent now.
	 * @return those since the previous digest and the new ones of that digest
	 */
	List<PartUse> forNextDigest() {
		Set<PartUse> all = new LinkedHashSet<>(this.pending);
		all.addAll(this.announcedOnce);
		this.announcedOnce = List.copyOf(this.pending);
		this.pending.clear();
		return List.copyOf(all);
	}

}
