package org.acaciacourse.core.route;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The latest run of each endpoint that lists have shown. Lists arrive over several ways
 * and may be older than one that was read before.
 * <p>
 * Invariant: once a run is known, no list brings an earlier one back, or the endpoint
 * without the time of its start.
 * <p>
 * Not thread safe: belongs to one event loop.
 */
public final class EndpointRuns {

	/** Longer than an outdated list is on its way. */
	static final long ABSENCE_NANOS = 600_000_000_000L;

	private final Map<String, Known> latest = new HashMap<>();

	/**
	 * Process a list.
	 * @param listed the list
	 * @param now the time
	 * @return the same list with the latest runs, and the runs that follow earlier ones
	 */
	public Update update(Fleet listed, long now) {
		List<EndpointRun> started = new ArrayList<>();
		Set<String> present = new HashSet<>();
		List<FleetEndpoint> endpoints = listed.endpoints().stream().map((endpoint) -> {
			present.add(endpoint.instance());
			return latest(endpoint, started);
		}).toList();
		this.latest.entrySet().removeIf((entry) -> entry.getValue().isGone(present.contains(entry.getKey()), now));
		return new Update(new Fleet(listed.revision(), endpoints), started);
	}

	private FleetEndpoint latest(FleetEndpoint endpoint, List<EndpointRun> started) {
		EndpointRun run = endpoint.run();
		Known known = this.latest.get(endpoint.instance());
		if (known != null && run.isAfter(known.run)) {
			started.add(run);
		}
		if (run.born().isPresent() && (known == null || run.isAfter(known.run))) {
			this.latest.put(endpoint.instance(), new Known(run));
			return endpoint;
		}
		return (known != null) ? endpoint.bornAt(known.run.born()) : endpoint;
	}

	/**
	 * A list with the latest runs.
	 *
	 * @param fleet the list
	 * @param started the runs that follow earlier ones which were known before
	 */
	public record Update(Fleet fleet, List<EndpointRun> started) {

		public Update {
			started = List.copyOf(started);
		}

	}

	private static final class Known {

		private final EndpointRun run;

		private boolean absent;

		private long absentSince;

		private Known(EndpointRun run) {
			this.run = run;
		}

		private boolean isGone(boolean present, long now) {
			if (!present && !this.absent) {
				this.absentSince = now;
			}
			this.absent = !present;
			return this.absent && now - this.absentSince > ABSENCE_NANOS;
		}

	}

}
