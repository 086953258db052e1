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
 * Requests that came before the first configuration. After all VMs were lost at once a
 * process is there a second before the configuration is: refused, most callers would come
 * back too early once more and give up. Held for a short part of their time they are
 * served late instead.
 * <p>
 * Not thread safe: belongs to the event loop.
 */
final class HeldRequests {

	/** A control VM is found and the newest configuration known within this time. */
	private static final long MAX_HOLD_MILLIS = 1_500;

	/** As a part of the time that the caller waits, so that it can still come back. */
	private static final int CALLER_TIMEOUT_DIVISOR = 3;

	/**
	 * Bounds the memory; more than come to a VM in that time at ten times the usual load.
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
	 * @param response takes its answer
	 * @param callerTimeoutMillis how long its caller waits
	 * @param refuse refuses it once it was held for too long
	 * @return false if too many are held already
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
		response.onGone(() -> {
			heldRequest.timeout.cancel(false);
			this.held.remove(heldRequest);
		});
		this.held.add(heldRequest);
		return true;
	}

	/**
	 * Hand all held requests on, in the order in which they came.
	 * @param handler gets each request
	 */
	void release(Consumer<HeldRequest> handler) {
		List<HeldRequest> all = List.copyOf(this.held);
		this.held.clear();
		all.forEach((heldRequest) -> {
			heldRequest.timeout.cancel(false);
			handler.accept(heldRequest);
		});
	}

	/** A request that came too early. */
	static final class HeldRequest {

		private final CallerRequest request;

		private final CallerResponse response;

		// The time of a request runs while it is held.
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
