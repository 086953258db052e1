package org.acaciacourse.core.crash;

import java.util.HashSet;
import java.util.Set;

/**
 * A crash of an endpoint: the features of the requests that were there, and which of them
 * are known to crash endpoints.
 * <p>
 * Not thread safe: belongs to one {@link CrashingFeatures}.
 */
final class EndpointCrash {

	private final int pool;

	private long at;

	private final Set<Long> features = new HashSet<>();

	private final Set<Long> culprits = new HashSet<>();

	private final Set<Long> culpritParts = new HashSet<>();

	EndpointCrash(int pool, long at) {
		this.pool = pool;
		this.at = at;
	}

	int pool() {
		return this.pool;
	}

	long at() {
		return this.at;
	}

	Set<Long> features() {
		return this.features;
	}

	// The entries notice a crash one after the other.
	void seen(long time) {
		this.at = (time - this.at < 0) ? time : this.at;
	}

	void add(long feature) {
		this.features.add(feature);
	}

	void addCulprit(long feature, boolean part) {
		this.features.add(feature);
		this.culprits.add(feature);
		if (part) {
			this.culpritParts.add(feature);
		}
	}

	void clearCulprit(long feature) {
		this.culprits.remove(feature);
		this.culpritParts.remove(feature);
	}

	void remove(long feature) {
		this.features.remove(feature);
		clearCulprit(feature);
	}

	// Whether any feature is known to have caused it.
	boolean isExplained() {
		return !this.culprits.isEmpty();
	}

	/**
	 * Return the features that are known to crash endpoints and may explain this crash to
	 * another one.
	 * @param part whether the other one is a part of prompts: a sound content that was
	 * sent again several times while a part crashed endpoints may be taken for the cause
	 * @return the features, parts only if the other one is a part
	 */
	Set<Long> culprits(boolean part) {
		return (part) ? this.culpritParts : this.culprits;
	}

}
