package org.acaciacourse.core.crash;

import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

/**
 * What a request may have in common with others: its content, which is the same when it
 * is sent again, and the parts of its prompt that other requests may have, too.
 * <p>
 * Immutable and thread safe.
 *
 * @param content a hash of the content
 * @param parts the ids of the shared parts, each once
 */
public record RequestFeatures(long content, List<Long> parts) {

	public RequestFeatures {
		parts = List.copyOf(parts);
	}

	/**
	 * Return all features.
	 * @return the content and the parts
	 */
	public Stream<Long> stream() {
		return Stream.concat(Stream.of(this.content), this.parts.stream());
	}

	boolean containsAll(Set<Long> features) {
		return features.stream().allMatch((feature) -> feature == this.content || this.parts.contains(feature));
	}

}
