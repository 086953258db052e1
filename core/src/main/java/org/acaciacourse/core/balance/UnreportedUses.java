package org.acaciacourse.core.balance;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The uses of prompt parts that are not yet reported to the other entry VMs. Invariant:
 * their number is bounded.
 * <p>
 * Not thread safe: belongs to one {@link PoolBalancer}.
 */
final class UnreportedUses {

	/**
	 * Bounds the uses of parts that wait to be reported: more than a VM sends between two
	 * digests. A VM without peers reports to nobody.
	 */
	private static final int MAX_USES = 64;

	private final Set<PartUse> uses = new LinkedHashSet<>();

	void add(PartUse use) {
		if (this.uses.size() < MAX_USES) {
			this.uses.add(use);
		}
	}

	// Removes and returns them.
	List<PartUse> drain() {
		List<PartUse> drained = List.copyOf(this.uses);
		this.uses.clear();
		return drained;
	}

}
