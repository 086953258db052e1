package org.acaciacourse.daemon.endpoint;

import java.util.Collection;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The start time of each engine's process, as last reported by the engine. An engine that
 * crashed and restarted within a second responds to every status request like a healthy
 * one; only its start time shows that its requests were lost in a crash rather than
 * through the connection.
 * <p>
 * Thread safe. The size is bounded by the number of engines in the manifest.
 */
public final class EngineStartTimes {

	private final Map<String, Long> startTimes = new ConcurrentHashMap<>();

	/**
	 * Record the start time that an engine reported.
	 * @param base the base address of the engine
	 * @param startedMillis the start time in milliseconds since the epoch
	 */
	public void put(String base, long startedMillis) {
		this.startTimes.put(base, startedMillis);
	}

	/**
	 * Return the start time that an engine last reported.
	 * @param base the base address of the engine
	 * @return the start time in milliseconds since the epoch, if one was reported
	 */
	public OptionalLong get(String base) {
		Long known = this.startTimes.get(base);
		return (known != null) ? OptionalLong.of(known) : OptionalLong.empty();
	}

	/**
	 * Remove the engines that are no longer in the manifest.
	 * @param bases the base addresses of the engines in the manifest
	 */
	void retain(Collection<String> bases) {
		this.startTimes.keySet().retainAll(bases);
	}

}
