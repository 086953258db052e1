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
 * @param connections the connections to the endpoints
 * @param pools what is known of the pools
 * @param metrics counts the ends of requests
 * @param openExchanges the requests that are not ended
 * @param lateLogLimiter bounds the lines on late answers
 */
record RouteContext(EventLoop loop, RequestDialect dialect, EndpointConnections connections, PoolStates pools,
		RouteMetrics metrics, Set<RoutedExchange> openExchanges, LineBudget lateLogLimiter) {
}
