package org.acaciacourse.core.manifest;

import java.util.Collections;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The sections in which one manifest differs from another.
 * <p>
 * Immutable and thread safe.
 *
 * @param changed the new content of each section that was added or changed
 * @param removed the names of the sections that were removed
 */
public record ManifestDelta(SortedMap<String, SortedMap<String, String>> changed, Set<String> removed) {

	public ManifestDelta {
		changed = Collections.unmodifiableSortedMap(new TreeMap<>(changed));
		removed = Set.copyOf(removed);
	}

}
