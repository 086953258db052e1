package org.acaciacourse.daemon.route;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import org.acaciacourse.daemon.http.CallerRequest;
import org.acaciacourse.daemon.http.CallerResponse;

/**
 * Requests that arrived before the first configuration. After a loss of all VMs at once,
 * a process is up about a second before it has the configuration. If requests were
 * refused during that time, most callers would retry too early once more and then give
 * up. Requests are held for a short part of the time that their caller waits and are then
 * served late.
 * <p>
 * Not thread safe: belongs to the event loop.
 */
final class HeldRequests {

	/**
	 * Within this time a control VM is found and the latest configuration is received.
	 */
	private static final long MAX_HOLD_MILLIS = 1_500;

	/**
	 * Requests are held for at most this fraction of the time that the caller waits, so
	 * that the caller can still retry.
	 */
	private static final int CALLER_TIMEOUT_DIVISOR = 3;

	/**
	 * Bounds the memory used; exceeds the number of requests that arrive at a VM within
	 * the longest hold time at ten times the usual load.
	 */
	private static final int MAX_HELD_REQUESTS = 500;

	private final List<HeldRequest> held = new ArrayList<>();

	private final EventLoop loop;

	HeldRequests(EventLoop loop) {
		this.loop = loop;
	}

	/**
	 * Hold a request.
	 * @param request the request
	 * @param response takes its response
	 * @param callerTimeoutMillis how long its caller waits
	 * @param refuse refuses the request when it was held for too long
	 * @return false if too many requests are held already
	 */
	boolean hold(CallerRequest request, CallerResponse response, long callerTimeoutMillis, Runnable refuse) {
		if (this.held.size() >= MAX_HELD_REQUESTS) {
			return false;
		}
		HeldRequest heldRequest = new HeldRequest(request, response);
		heldRequest.timeout = this.loop.schedule(() -> {
			this.held.remove(heldRequest);
			refuse.run();
		}, Math.min(MAX_HOLD_MILLIS, callerTimeoutMillis / CALLER_TIMEOUT_DIVISOR), TimeUnit.MILLISECONDS);
		response.onDisconnect(() -> {
			heldRequest.timeout.cancel(false);
			this.held.remove(heldRequest);
		});
		this.held.add(heldRequest);
		return true;
	}

	/**
	 * Pass on all held requests in the order in which they arrived.
	 * @param handler receives each request
	 */
	void release(Consumer<HeldRequest> handler) {
		List<HeldRequest> all = List.copyOf(this.held);
		this.held.clear();
		all.forEach((heldRequest) -> {
			heldRequest.timeout.cancel(false);
			handler.accept(heldRequest);
		});
	}

	/** A request that is held until there is a configuration. */
	static final class HeldRequest {

		private final CallerRequest request;

		private final CallerResponse response;

		// The time that a request is held counts towards its deadline.
		private final long arrivedAt = System.nanoTime();

		private ScheduledFuture<?> timeout;

		private HeldRequest(CallerRequest request, CallerResponse response) {
			this.request = request;
			this.response = response;
		}

		CallerRequest request() {
			return this.request;
		}

		CallerResponse response() {
			return this.response;
		}

		long arrivedAt() {
			return this.arrivedAt;
		}

	}

}
