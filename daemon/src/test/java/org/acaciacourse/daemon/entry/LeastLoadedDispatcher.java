package org.acaciacourse.daemon.entry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.dispatch.AttemptOutcome;
import org.acaciacourse.core.dispatch.DispatchActions;
import org.acaciacourse.core.dispatch.Dispatcher;
import org.acaciacourse.core.dispatch.EndpointStatus;
import org.acaciacourse.core.dispatch.LoadReport;
import org.acaciacourse.core.dispatch.RequestInfo;
import org.acaciacourse.core.model.Endpoint;
import org.acaciacourse.core.model.Manifest;

/**
 * A minimal dispatcher for tests of the daemon. It selects the endpoint with the fewest
 * attempts, retries twice and enforces the deadline.
 * <p>
 * Not thread safe: one thread calls it.
 */
final class LeastLoadedDispatcher implements Dispatcher {

	private static final int MAX_ATTEMPTS = 3;

	private final DispatchActions actions;

	private final Map<Long, OpenRequest> openRequests = new HashMap<>();

	private final Map<Long, Long> requestOfAttempt = new HashMap<>();

	private final Map<Long, String> endpointOfAttempt = new HashMap<>();

	private final Set<String> leaving = new HashSet<>();

	private Manifest manifest;

	private long attempts;

	LeastLoadedDispatcher(DispatchActions actions) {
		this.actions = actions;
	}

	@Override
	public void configure(Manifest next, long now) {
		this.manifest = next;
	}

	@Override
	public void endpointStatus(String endpoint, EndpointStatus status, long now) {
		if (!status.acceptsRequests()) {
			this.leaving.add(endpoint);
		}
	}

	@Override
	public void loadReport(String endpoint, LoadReport report, long now) {
	}

	@Override
	public void prefixEvent(String endpoint, long prefixHash, boolean held, long now) {
	}

	@Override
	public void requestArrived(RequestInfo request, long now) {
		this.openRequests.put(request.id(), new OpenRequest(request));
		this.actions.wakeAt(request.deadlineNanos());
		dispatch(this.openRequests.get(request.id()));
	}

	private void dispatch(OpenRequest request) {
		Optional<Endpoint> chosen = this.manifest.endpoints()
			.values()
			.stream()
			.filter((endpoint) -> endpoint.endpointSet().equals(request.info.endpointSet()))
			.filter((endpoint) -> !this.leaving.contains(endpoint.name()))
			.min((a, b) -> Long.compare(load(a), load(b)));
		if (chosen.isEmpty()) {
			finish(request, ResultCode.NO_ENDPOINT);
			return;
		}
		long id = ++this.attempts;
		request.tries++;
		this.requestOfAttempt.put(id, request.info.id());
		this.endpointOfAttempt.put(id, chosen.get().name());
		this.actions.dispatch(
				new DispatchActions.Attempt(id, request.info.id(), chosen.get().name(), 0, request.tokens, "tiered"));
	}

	private long load(Endpoint endpoint) {
		return this.endpointOfAttempt.values().stream().filter(endpoint.name()::equals).count();
	}

	private void finish(OpenRequest request, ResultCode code) {
		this.openRequests.remove(request.info.id());
		this.actions.finish(request.info.id(), code, Optional.empty());
	}

	@Override
	public void callerGone(long requestId, long now) {
		this.openRequests.remove(requestId);
		this.requestOfAttempt.forEach((attempt, request) -> {
			if (request == requestId) {
				this.actions.cancel(attempt);
			}
		});
	}

	@Override
	public void tokensReceived(long attemptId, int count, long now) {
		OpenRequest request = this.openRequests.get(this.requestOfAttempt.get(attemptId));
		if (request != null) {
			request.tokens += count;
		}
	}

	@Override
	public void attemptEnded(long attemptId, AttemptOutcome outcome, long now) {
		Long requestId = this.requestOfAttempt.remove(attemptId);
		this.endpointOfAttempt.remove(attemptId);
		OpenRequest request = this.openRequests.get(requestId);
		if (request == null) {
			return;
		}
		if (outcome == AttemptOutcome.COMPLETE) {
			this.openRequests.remove(requestId);
		}
		else if (mayRetry(request, outcome)) {
			dispatch(request);
		}
		else {
			finish(request,
					(outcome != AttemptOutcome.REJECTED) ? ResultCode.RETRIES_EXHAUSTED : ResultCode.ENDPOINT_ERROR);
		}
	}

	private static boolean mayRetry(OpenRequest request, AttemptOutcome outcome) {
		boolean notSent = outcome == AttemptOutcome.NOT_SENT || outcome == AttemptOutcome.REFUSED;
		return outcome.isRetryable() && request.tries < MAX_ATTEMPTS && (notSent || !request.info.notRepeated());
	}

	@Override
	public void suspectReported(long contentHash, int crashes, long now) {
	}

	@Override
	public void drain(long now) {
	}

	@Override
	public void tick(long now) {
		for (OpenRequest request : Map.copyOf(this.openRequests).values()) {
			if (now >= request.info.deadlineNanos()) {
				finish(request, ResultCode.DEADLINE_EXCEEDED);
			}
			else {
				this.actions.wakeAt(request.info.deadlineNanos());
			}
		}
	}

	private static final class OpenRequest {

		private final RequestInfo info;

		private int tries;

		private int tokens;

		private OpenRequest(RequestInfo info) {
			this.info = info;
		}

	}

}
