package org.acaciacourse.engine;

import java.nio.file.Path;
import java.util.Optional;
import java.util.Set;

/**
 * How the stand-in behaves.
 * <p>
 * Immutable and thread safe.
 *
 * @param host the IP number to listen on
 * @param port the port, 0 for any free one
 * @param models the models that it serves
 * @param pace the times and sizes of the batch
 * @param checksFencing whether orders with an old fencing number are refused
 * @param service whether it answers as a plain service
 * @param serviceMillis how long a call of the plain service takes
 * @param crashMarker the text whose run halts the process, empty for none
 * @param runLog the file that gets a line for each run
 */
public record EngineOptions(String host, int port, Set<String> models, Pace pace, boolean checksFencing,
		boolean service, int serviceMillis, String crashMarker, Optional<Path> runLog) {

	public EngineOptions {
		models = Set.copyOf(models);
	}

	/**
	 * Return options for an engine on a free loopback port.
	 * @param models the models that it serves
	 * @param pace the times and sizes of the batch
	 * @return the options
	 */
	public static EngineOptions loopback(Set<String> models, Pace pace) {
		return new EngineOptions("127.0.0.1", 0, models, pace, true, false, 0, "", Optional.empty());
	}

	/**
	 * Times and sizes of the batch.
	 * <p>
	 * Immutable and thread safe.
	 *
	 * @param tokenMillis the time of a step with one request in the batch
	 * @param prefillMillis the time before the first token if the prefix is not cached
	 * @param slots the size of the batch
	 * @param maxQueue how many requests wait before more are refused
	 * @param cacheBytes the memory limit of the prefix cache
	 * @param loadLagMillis how far load reports lag
	 * @param eventLagMillis how far cache events lag
	 * @param detachedMillis how long a request runs on after its connection closed
	 */
	public record Pace(double tokenMillis, double prefillMillis, int slots, int maxQueue, long cacheBytes,
			int loadLagMillis, int eventLagMillis, int detachedMillis) {

		/**
		 * Return a pace with the usual sizes.
		 * @param tokenMillis the time of a step with one request in the batch
		 * @param prefillMillis the time before the first token
		 * @param slots the size of the batch
		 * @return the pace
		 */
		public static Pace of(double tokenMillis, double prefillMillis, int slots) {
			return new Pace(tokenMillis, prefillMillis, slots, 256, 1 << 20, 500, 1_000, 10_000);
		}

	}

}
