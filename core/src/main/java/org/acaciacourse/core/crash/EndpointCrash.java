package org.acaciacourse.core.crash;

import java.util.HashSet;
import java.util.Set;

/**
 * A crash of an endpoint: the contents that were there, and which of them are known to
 * crash endpoints.
 * <p>
 * Not thread safe: belongs to one {@link CrashingFeatures}.
 */
final class EndpointCrash {

	private final int pool;

	private final long at;

	private final Set<Long> contents = new HashSet<>();

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

	Set<Long> contents() {
		return this.contents;
	}

	void add(long content, boolean culprit) {
		this.contents.add(content);
		if (culprit) {
			this.culprits.add(content);
		}
	}

	void remove(long content) {
		this.contents.remove(content);
		this.culprits.remove(content);
	}

	// Whether it is due to another content that is known to crash endpoints.
	boolean isExplainedWithout(long content) {
		return this.culprits.size() > ((this.culprits.contains(content)) ? 1 : 0);
	}

}
