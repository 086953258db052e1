package org.acaciacourse.core.stream;

import java.util.Objects;
import java.util.Optional;

/**
 * Which endpoints can go on with a stream: those of the pool and the software version
 * that began it. What two versions write does not fit together.
 * <p>
 * Immutable and thread safe.
 *
 * @param pool the pool that began the stream
 * @param version the version of the endpoint that wrote the first event; no endpoint can
 * go on with the stream if it is not known
 */
public record StreamOrigin(String pool, Optional<String> version) {

	public StreamOrigin {
		Objects.requireNonNull(pool, "pool");
		Objects.requireNonNull(version, "version");
	}

	/**
	 * Return the origin of a stream about which reports differ.
	 * @param other another report
	 * @return this one if both are equal, otherwise one without a version
	 */
	StreamOrigin mergedWith(StreamOrigin other) {
		return (equals(other)) ? this : new StreamOrigin(this.pool, Optional.empty());
	}

}
