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

	void add(long feature, boolean culprit) {
		this.features.add(feature);
		if (culprit) {
			this.culprits.add(feature);
		}
	}

	void remove(long feature) {
		this.features.remove(feature);
		this.culprits.remove(feature);
	}

	// Whether it is due to another feature that is known to crash endpoints.
	boolean isExplainedWithout(long feature) {
		return this.culprits.size() > ((this.culprits.contains(feature)) ? 1 : 0);
	}

}
