package org.acaciacourse.core.stream;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;

import org.acaciacourse.core.route.FleetEndpoint;

/**
 * The origins of streams that began a short while ago, with the endpoints that wrote
 * their first events. The list of endpoints lags behind: an endpoint that was started
 * again under its id with other software is listed with its former version for a while.
 * If the list states another version soon after, it is not known which of the two began
 * the stream.
 * <p>
 * Invariant: holds the origins of the last {@link #CONFIRMATION_NANOS}, at most
 * {@link #MAX_STREAMS} of them.
 * <p>
 * Not thread safe: belongs to one event loop.
 */
public final class UnconfirmedOrigins {

	/** The list has told of a restart by then, also where it is read late. */
	static final long CONFIRMATION_NANOS = 6_000_000_000L;

	/** Bounds the memory to some hundred kilobytes. */
	static final int MAX_STREAMS = 2_000;

	/** The oldest one comes first. */
	private final Deque<Entry> entries = new ArrayDeque<>();

	/**
	 * Record the origin of a stream that has begun.
	 * @param key the name of the stream
	 * @param origin its origin, as the list stated it
	 * @param instance the endpoint that wrote the first event
	 * @param now the time
	 */
	public void add(StreamKey key, StreamOrigin origin, String instance, long now) {
		if (origin.version().isPresent()) {
			this.entries.add(new Entry(key, origin, instance, now));
		}
		expire(now);
	}

	private void expire(long now) {
		while (!this.entries.isEmpty()
				&& (now - this.entries.peek().beganAt() > CONFIRMATION_NANOS || this.entries.size() > MAX_STREAMS)) {
			this.entries.remove();
		}
	}

	/**
	 * Remove and return the streams whose endpoints are listed with another version now.
	 * @param listed returns an endpoint as it is listed
	 * @param now the time
	 * @return the names of the streams, whose versions are not known
	 */
	public List<StreamKey> removeContradicted(Function<String, Optional<FleetEndpoint>> listed, long now) {
		expire(now);
		List<StreamKey> contradicted = new ArrayList<>();
		this.entries.removeIf((entry) -> {
			boolean differs = listed.apply(entry.instance())
				.filter((endpoint) -> !endpoint.version().equals(entry.origin().version()))
				.isPresent();
			if (differs) {
				contradicted.add(entry.key());
			}
			return differs;
		});
		return contradicted;
	}

	private record Entry(StreamKey key, StreamOrigin origin, String instance, long beganAt) {

		private Entry {
			Objects.requireNonNull(key, "key");
			Objects.requireNonNull(origin, "origin");
			Objects.requireNonNull(instance, "instance");
		}

	}

}
