package org.acaciacourse.core.balance;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Uses of prompt parts that are to be told, each in two digests in a row, as datagrams
 * are lost. Invariant: at most {@value #MOST} wait.
 * <p>
 * Not thread safe: belongs to one {@link LoadExchange}.
 */
final class ToldTwice {

	/** More than a group of VMs has between two digests. */
	private static final int MOST = 300;

	private final Set<PartUse> untold = new LinkedHashSet<>();

	private List<PartUse> toldOnce = List.of();

	void add(Collection<PartUse> uses) {
		uses.stream().limit(Math.max(0, MOST - this.untold.size())).forEach(this.untold::add);
	}

	/**
	 * Return the uses for a digest that is sent now.
	 * @return those since the one before and those of that one
	 */
	List<PartUse> next() {
		Set<PartUse> all = new LinkedHashSet<>(this.untold);
		all.addAll(this.toldOnce);
		this.toldOnce = List.copyOf(this.untold);
		this.untold.clear();
		return List.copyOf(all);
	}

}
