package org.acaciacourse.daemon.route;

import java.util.Optional;

import org.acaciacourse.core.balance.EndpointRests;
import org.acaciacourse.core.route.EndpointRun;
import org.acaciacourse.core.route.EndpointRuns;
import org.acaciacourse.core.route.Fleet;
import org.acaciacourse.core.route.LeavingEndpoints;
import org.acaciacourse.daemon.telemetry.DecisionLog;
import org.acaciacourse.daemon.telemetry.LogEvent;

/**
 * The endpoints as they are listed, with what they have stated themselves of their runs.
 * What an endpoint stated ends with its run: after another start it neither rests nor is
 * leaving, until it states that again.
 * <p>
 * Not thread safe: belongs to the event loop.
 */
final class ListedEndpoints {

	private final EndpointRests rests;

	private final EndpointRuns runs = new EndpointRuns();

	private final LeavingEndpoints leaving = new LeavingEndpoints();

	private Fleet latest = Fleet.NONE;

	/**
	 * Create the endpoints.
	 * @param rests the rests that endpoints ask for
	 */
	ListedEndpoints(EndpointRests rests) {
		this.rests = rests;
	}

	/**
	 * Process a list.
	 * @param listed the list
	 * @param now the time
	 * @return the list with the latest run of each endpoint, in which the endpoints that
	 * have stated that they are leaving are so
	 */
	Fleet update(Fleet listed, long now) {
		EndpointRuns.Update update = this.runs.update(listed, now);
		this.latest = update.fleet();
		update.started().forEach(this::started);
		return this.leaving.mark(this.latest, now);
	}

	private void started(EndpointRun run) {
		this.rests.ended(run.instance());
		this.leaving.ended(run.instance());
		DecisionLog.write(LogEvent.ENDPOINT_STARTED, run.instance(), run.born().getAsLong());
	}

	/**
	 * Record that an endpoint stated that it is leaving.
	 * @param instance the endpoint
	 * @param now the time
	 * @return the list to be used from now on, empty if the endpoint stated it before
	 */
	Optional<Fleet> leavingStated(String instance, long now) {
		return (this.leaving.stated(instance)) ? Optional.of(this.leaving.mark(this.latest, now)) : Optional.empty();
	}

	Fleet latest() {
		return this.latest;
	}

}
