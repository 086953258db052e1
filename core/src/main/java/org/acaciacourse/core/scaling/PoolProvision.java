package org.acaciacourse.core.scaling;

import java.util.Collections;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * How many endpoints a pool had before the first order, and where permanent ones are
 * replaced by reclaimable ones.
 * <p>
 * Immutable and thread safe.
 *
 * @param counts the number of endpoints by data centre
 * @param replaced the data centres in which the permanent endpoints are no longer needed
 */
public record PoolProvision(SortedMap<String, Integer> counts, SortedSet<String> replaced) {

	/**
	 * Ends an entry of {@code replaced} that is no data centre, but tells of one that its
	 * permanent endpoints are gone. Releases that do not know it ignore it.
	 */
	private static final String GONE_SUFFIX = " without permanent";

	public PoolProvision {
		counts = Collections.unmodifiableSortedMap(new TreeMap<>(counts));
		replaced = Collections.unmodifiableSortedSet(new TreeSet<>(replaced));
	}

	/**
	 * Create a provision.
	 * @param counts the number of endpoints by data centre
	 * @param replaced the data centres in which the permanent endpoints are no longer
	 * needed
	 */
	public PoolProvision(Map<String, Integer> counts, Set<String> replaced) {
		this(new TreeMap<>(counts), new TreeSet<>(replaced));
	}

	/**
	 * Add what a later command records: data centres, but no counts.
	 * @param later the later provision
	 * @return what holds
	 */
	public PoolProvision extendedBy(PoolProvision later) {
		SortedSet<String> all = new TreeSet<>(this.replaced);
		all.addAll(later.replaced);
		return new PoolProvision(this.counts, all);
	}

	/**
	 * Return whether all endpoints of a data centre are known to be reclaimable.
	 * @param dataCentre the data centre
	 * @return whether its permanent endpoints were ordered away
	 */
	public boolean isWithoutPermanent(String dataCentre) {
		return this.replaced.contains(dataCentre + GONE_SUFFIX);
	}

	/**
	 * Return the provision once the permanent endpoints of a data centre are ordered
	 * away.
	 * @param dataCentre the data centre
	 * @return the provision
	 */
	public PoolProvision withoutPermanent(String dataCentre) {
		SortedSet<String> all = new TreeSet<>(this.replaced);
		all.add(dataCentre + GONE_SUFFIX);
		return new PoolProvision(this.counts, all);
	}

}
