package org.acaciacourse.daemon.entry;

import org.acaciacourse.daemon.endpoint.EndpointClient;
import org.acaciacourse.daemon.endpoint.EngineStartTimes;
import org.acaciacourse.daemon.link.ControlLink;
import org.acaciacourse.daemon.telemetry.EntryMetrics;
import org.acaciacourse.daemon.telemetry.Traces;

/**
 * The objects shared by all requests of an entry VM.
 * <p>
 * Immutable and thread safe.
 *
 * @param dispatchLoop the thread of the dispatcher
 * @param client the HTTP client for endpoints
 * @param link the connection to the control VMs
 * @param metrics the metrics
 * @param traces the traces
 * @param stallTimeouts the time without progress after which an endpoint is queried
 * @param engineStarts the start time of each engine
 * @param activeRequests the requests that have not ended
 */
record EntryContext(DispatchLoop dispatchLoop, EndpointClient client, ControlLink link, EntryMetrics metrics,
		Traces traces, StallTimeouts stallTimeouts, EngineStartTimes engineStarts, ActiveRequests activeRequests) {
}
