package org.acaciacourse.daemon.route;

import java.util.Set;

import io.netty.channel.EventLoop;
import org.acaciacourse.core.code.LineBudget;

/**
 * What all routed requests of an entry VM share.
 * <p>
 * Not thread safe: belongs to the event loop.
 *
 * @param loop the event loop of all requests and connections
 * @param dialect reads and writes headers
 * @param links the connections to the endpoints
 * @param pools what is known of the pools
 * @param metrics counts the ends of requests
 * @param open the requests that are not ended
 * @param lateLines bounds the lines on late answers
 */
record RouteContext(EventLoop loop, RequestDialect dialect, EndpointLinks links, PoolStates pools, RouteMetrics metrics,
		Set<RoutedExchange> open, LineBudget lateLines) {
}
