package org.acaciacourse.daemon.route;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.acaciacourse.core.route.Fleet;
import org.acaciacourse.core.route.FleetEndpoint;
import org.acaciacourse.daemon.telemetry.DecisionLog;
import org.acaciacourse.daemon.telemetry.LogEvent;

/**
 * Logs changes of the list of endpoints.
 * <p>
 * Thread safe: it has no state.
 */
final class FleetLog {

	private FleetLog() {
	}

	/**
	 * Log a list that comes into force.
	 * @param fleet the list
	 * @param source where it was read
	 */
	static void write(Fleet fleet, String source) {
		long leaving = fleet.endpoints().stream().filter(FleetEndpoint::leaving).count();
		DecisionLog.write(LogEvent.FLEET, Long.toHexString(fleet.revision()), fleet.endpoints().size(), leaving, source,
				versions(fleet));
	}

	private static List<String> versions(Fleet fleet) {
		Map<String, Map<String, Long>> pools = fleet.endpoints()
			.stream()
			.collect(Collectors.groupingBy(FleetEndpoint::pool, TreeMap::new, Collectors
				.groupingBy((endpoint) -> endpoint.version().orElse("unknown"), TreeMap::new, Collectors.counting())));
		return pools.entrySet()
			.stream()
			.filter((pool) -> pool.getValue().size() > 1)
			.map((pool) -> pool.getKey() + " " + pool.getValue())
			.toList();
	}

}
