package org.acaciacourse.daemon.endpoint;

import java.util.Collection;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;

/**
 * When each engine's process was started, as it said last. An engine that crashed and
 * came back within a second answers every question like a healthy one; only the time of
 * its start tells that what it ran is lost by a crash and not by the connection.
 * <p>
 * Thread safe. Bounded by the number of engines in the manifest.
 */
public final class EngineStarts {

	private final Map<String, Long> startTimes = new ConcurrentHashMap<>();

	/**
	 * Take note of what an engine said.
	 * @param base the base address
	 * @param startedMillis the time of its start
	 */
	public void note(String base, long startedMillis) {
		this.startTimes.put(base, startedMillis);
	}

	/**
	 * Return what an engine said last.
	 * @param base the base address
	 * @return the time of its start, if it said one
	 */
	public OptionalLong of(String base) {
		Long known = this.startTimes.get(base);
		return (known != null) ? OptionalLong.of(known) : OptionalLong.empty();
	}

	/**
	 * Forget engines that are not in the manifest any more.
	 * @param bases the base addresses that are
	 */
	void retain(Collection<String> bases) {
		this.startTimes.keySet().retainAll(bases);
	}

}
