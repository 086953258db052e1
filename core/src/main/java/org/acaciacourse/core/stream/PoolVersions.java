package org.acaciacourse.core.stream;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;

import org.acaciacourse.core.route.Fleet;
import org.acaciacourse.core.route.FleetEndpoint;

/**
 * Which software versions the endpoints of each pool have had, as far as this VM knows:
 * if a pool has had one for longer than streams live, a stream of unknown origin began at
 * that version. What counts is when the list was read at the platform, not when it was
 * told here: nothing is known of the time before the first read, of a gap between two
 * reads, or of what began after the latest one.
 * <p>
 * Not thread safe: belongs to one event loop.
 */
public final class PoolVersions {

	/**
	 * The list is read about once a second. An endpoint that leaves or crashes remains
	 * listed for longer than this.
	 */
	private static final long MAX_READ_GAP_NANOS = 3_000_000_000L;

	/**
	 * How long the listed version of an endpoint is not relied on after it crashed: it
	 * may have started again under the same id with another version, which the list tells
	 * late.
	 */
	private static final long RESTART_DOUBT_NANOS = 6_000_000_000L;

	private Fleet fleet = Fleet.NONE;

	/** The versions of each pool that are listed. */
	private Map<String, Set<Optional<String>>> listed = Map.of();

	private Map<String, FleetEndpoint> endpoints = Map.of();

	/** When a version that is no longer listed last was, by pool. */
	private final Map<String, Map<Optional<String>, Long>> delistedAt = new HashMap<>();

	private final Map<String, Long> crashedAt = new HashMap<>();

	private long knownSince;

	/** When the list was read, or an earlier time. */
	private OptionalLong readAt = OptionalLong.empty();

	/**
	 * Record that the list of endpoints was read or confirmed.
	 * @param next the list
	 * @param readAt when it was read at the platform, or an earlier time; empty if that
	 * is not known
	 * @param now the time
	 */
	public void confirmed(Fleet next, OptionalLong readAt, long now) {
		if (this.fleet == Fleet.NONE || !continues(readAt)) {
			this.knownSince = now;
		}
		this.readAt = readAt;
		if (next.revision() == this.fleet.revision()) {
			return;
		}
		this.fleet = next;
		Map<String, Set<Optional<String>>> before = this.listed;
		this.listed = next.endpoints()
			.stream()
			.collect(Collectors.groupingBy(FleetEndpoint::pool,
					Collectors.mapping(FleetEndpoint::version, Collectors.toSet())));
		this.endpoints = next.endpoints()
			.stream()
			.collect(Collectors.toMap(FleetEndpoint::instance, (endpoint) -> endpoint, (first, second) -> second));
		before.forEach((pool, versions) -> versions.stream()
			.filter((version) -> !this.listed.getOrDefault(pool, Set.of()).contains(version))
			.forEach((version) -> this.delistedAt.computeIfAbsent(pool, (name) -> new HashMap<>()).put(version, now)));
	}

	private boolean continues(OptionalLong nextReadAt) {
		return this.readAt.isPresent() && nextReadAt.isPresent()
				&& nextReadAt.getAsLong() - this.readAt.getAsLong() <= MAX_READ_GAP_NANOS;
	}

	/**
	 * Return how long ago the list was read at the platform.
	 * @param now the time
	 * @return the nanoseconds, or more; empty if that is not known
	 */
	public OptionalLong ageNanos(long now) {
		return (this.readAt.isPresent()) ? OptionalLong.of(now - this.readAt.getAsLong()) : OptionalLong.empty();
	}

	/**
	 * Return for how long the list has been known without a gap.
	 * @param now the time
	 * @return the nanoseconds, 0 if there is no list yet
	 */
	public long knownNanos(long now) {
		return (this.fleet != Fleet.NONE) ? now - this.knownSince : 0;
	}

	/**
	 * Record that an endpoint crashed.
	 * @param instance the endpoint
	 * @param now the time
	 */
	public void crashed(String instance, long now) {
		this.crashedAt.put(instance, now);
	}

	/**
	 * Return the endpoints that crashed a short while ago: their listed version may be
	 * that of the process before a restart.
	 * @param now the time
	 * @return the instances
	 */
	public Set<String> doubtfulInstances(long now) {
		this.crashedAt.values().removeIf((at) -> now - at > RESTART_DOUBT_NANOS);
		return Set.copyOf(this.crashedAt.keySet());
	}

	/**
	 * Return the version of an endpoint that has written an event.
	 * @param endpoint the endpoint as it was listed when the request was sent
	 * @param now the time
	 * @return its version; empty if the list states none or has stated another one since,
	 * or if the endpoint may have been started again
	 */
	public Optional<String> versionOf(FleetEndpoint endpoint, long now) {
		FleetEndpoint latest = this.endpoints.getOrDefault(endpoint.instance(), endpoint);
		boolean reliable = latest.version().equals(endpoint.version())
				&& !doubtfulInstances(now).contains(endpoint.instance());
		return endpoint.version().filter((version) -> reliable);
	}

	/**
	 * Return the only version that a pool has had.
	 * @param pool the name of the pool
	 * @param duration the time up to now
	 * @param until the end of the time that the list must cover
	 * @param now the time
	 * @return the version of all endpoints that were listed within that time; empty if
	 * there were several, or if the list is not known for all of it
	 */
	public Optional<String> onlyVersion(String pool, Duration duration, long until, long now) {
		return (wasReadSince(until)) ? latestOnlyVersion(pool, duration, now) : Optional.empty();
	}

	/**
	 * Return whether the list was read at the platform at a time or later.
	 * @param time the time
	 * @return whether it is certain that it was
	 */
	public boolean wasReadSince(long time) {
		return this.readAt.isPresent() && this.readAt.getAsLong() - time >= 0;
	}

	/**
	 * Return the only version that a pool had up to the latest read of the list.
	 * @param pool the name of the pool
	 * @param duration the time up to now
	 * @param now the time
	 * @return the version of all endpoints that were listed within that time; empty if
	 * there were several, or if the list is not known for all of it
	 */
	public Optional<String> latestOnlyVersion(String pool, Duration duration, long now) {
		long nanos = duration.toNanos();
		boolean known = this.fleet != Fleet.NONE && now - this.knownSince >= nanos;
		Set<Optional<String>> versions = this.listed.getOrDefault(pool, Set.of());
		if (!known || versions.size() != 1) {
			return Optional.empty();
		}
		Optional<String> version = versions.iterator().next();
		boolean others = this.delistedAt.getOrDefault(pool, Map.of())
			.entrySet()
			.stream()
			.anyMatch((delisted) -> !delisted.getKey().equals(version) && now - delisted.getValue() < nanos);
		return version.filter((text) -> !others);
	}

}
