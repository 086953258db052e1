package org.acaciacourse.daemon.route;

import java.util.Optional;
import java.util.Set;

import io.netty.channel.EventLoop;
import org.acaciacourse.daemon.link.UsageMeter;
import org.acaciacourse.daemon.memory.ResponseMemory;

/**
 * Objects that all routed requests of an entry VM share.
 * <p>
 * Not thread safe: belongs to the event loop.
 *
 * @param loop the event loop of all requests and connections
 * @param dialect reads and writes headers
 * @param connections the connections to the endpoints
 * @param pools the states of the pools
 * @param statements takes over what endpoints state about requests to them
 * @param crashes keeps requests that crash endpoints from being sent on
 * @param origins where streams began that callers may take up
 * @param bodies bounds the memory of buffered response bodies
 * @param memory bounds the memory of responses that callers do not read, if it is bounded
 * @param metrics the metrics
 * @param openExchanges the requests that have not ended
 * @param logLimits limits the rate of log lines of single requests
 * @param usage counts the requests that endpoints begin, if their usage is reported
 */
record RouteContext(EventLoop loop, RequestDialect dialect, EndpointConnections connections, PoolStates pools,
		EndpointStatements statements, CrashGuard crashes, StreamOriginService origins, BodyMemory bodies,
		Optional<ResponseMemory> memory, RouteMetrics metrics, Set<RoutedExchange> openExchanges,
		RequestLogLimits logLimits, Optional<UsageMeter> usage) {
}
