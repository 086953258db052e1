package org.acaciacourse.daemon.entry;

import org.acaciacourse.daemon.endpoint.EndpointClient;
import org.acaciacourse.daemon.endpoint.EngineStarts;
import org.acaciacourse.daemon.link.ControlLink;
import org.acaciacourse.daemon.telemetry.EntryMetrics;
import org.acaciacourse.daemon.telemetry.Traces;

/**
 * What all requests of an entry VM share.
 * <p>
 * Immutable and thread safe.
 *
 * @param dispatchLoop the decision thread
 * @param client HTTP to the endpoints
 * @param link the link to the control VMs
 * @param metrics the metrics
 * @param traces the traces
 * @param stallTimeouts how long an endpoint may make no progress
 * @param engineStarts when each engine was started
 * @param activeRequests the requests that are not ended
 */
record EntryContext(DispatchLoop dispatchLoop, EndpointClient client, ControlLink link, EntryMetrics metrics,
		Traces traces, StallTimeouts stallTimeouts, EngineStarts engineStarts, ActiveRequests activeRequests) {
}
