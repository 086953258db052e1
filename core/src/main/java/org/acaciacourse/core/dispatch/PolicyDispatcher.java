package org.acaciacourse.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.dispatch.admission.CustomerLimit;
import org.acaciacourse.core.dispatch.suspect.SuspectTable;
import org.acaciacourse.core.model.Customer;
import org.acaciacourse.core.model.Endpoint;
import org.acaciacourse.core.model.EndpointSet;
import org.acaciacourse.core.model.Manifest;
import org.acaciacourse.core.model.Policy;
import org.acaciacourse.core.model.RequestClass;
import org.acaciacourse.core.model.Tier;

/**
 * The scheduling decisions of one entry VM according to the policies of the manifest. The
 * steps are separate classes: {@link Admission}, {@link PolicyQueue},
 * {@link EndpointSelector}, {@link Scheduler} and {@link OutcomeHandler}.
 * <p>
 * Invariants: each request gets exactly one final response; a policy change applies to
 * all waiting requests at once and does not affect running ones.
 * <p>
 * Not thread safe: all methods are called by one thread.
 */
public final class PolicyDispatcher implements Dispatcher {

	private static final long CHECK_INTERVAL_NANOS = 25_000_000L;

	private static final long REVIEW_INTERVAL_NANOS = 250_000_000L;

	private static final long REMOTE_SUSPECT_DELAY_NANOS = 15_000_000_000L;

	private static final long MIN_REFUSAL_WAIT_NANOS = 1_000_000_000L;

	private final DispatchState state;

	private final Admission admission;

	private final Scheduler scheduler;

	private final OutcomeHandler outcomeHandler;

	private long wakeAt = Long.MAX_VALUE;

	private long reviewedAt = Long.MIN_VALUE;

	/**
	 * Create a dispatcher without a manifest, which refuses all requests.
	 * @param actions executes the decisions
	 * @param seed the seed of the random choices
	 */
	public PolicyDispatcher(DispatchActions actions, long seed) {
		this.state = new DispatchState(actions, seed);
		this.admission = new Admission(this.state);
		this.scheduler = new Scheduler(this.state);
		this.outcomeHandler = new OutcomeHandler(this.state);
	}

	@Override
	public void entryCount(int count, long now) {
		int before = this.state.entryCount;
		this.state.entryCount = Math.max(1, count);
		if (this.state.entryCount != before && this.state.manifest != null) {
			this.state.manifest.customers().values().forEach(this::configureLimit);
		}
	}

	/**
	 * Set the number of entry VMs that share the traffic, and the index of this one. With
	 * an index the VMs divide free slots exactly; without one they divide them randomly.
	 * @param index the index of this VM in an order that is the same on all VMs
	 * @param count the number of VMs, including this one
	 * @param now the time
	 */
	public void entryPosition(int index, int count, long now) {
		this.state.entryIndex = index;
		entryCount(count, now);
	}

	@Override
	public void configure(Manifest manifest, long now) {
		this.state.manifest = manifest;
		manifest.customers().values().forEach(this::configureLimit);
		manifest.endpointSets().values().forEach(this::configureSet);
		this.state.sets.values().forEach((set) -> set.endpoints.clear());
		manifest.endpoints().keySet().stream().sorted().map(manifest.endpoints()::get).forEach(this::configureEndpoint);
		this.state.endpoints.keySet().retainAll(manifest.endpoints().keySet());
		this.state.sets.values().forEach((set) -> rebuildQueues(set, manifest));
		dispatchAllWaiting(now);
	}

	private void configureLimit(Customer customer) {
		this.state.limits.computeIfAbsent(customer.name(), (name) -> new CustomerLimit())
			.configure(customer, this.state.entryCount);
	}

	private void configureSet(EndpointSet declared) {
		this.state.sets.computeIfAbsent(declared.name(),
				(name) -> new EndpointSetState(declared)).definition = declared;
	}

	private void configureEndpoint(Endpoint endpoint) {
		EndpointView view = this.state.endpoints.computeIfAbsent(endpoint.name(), (name) -> new EndpointView(endpoint));
		view.definition = endpoint;
		this.state.sets.get(endpoint.endpointSet()).endpoints.add(view);
	}

	// Creates the queues anew and moves all waiting requests to them in order of arrival.
	private void rebuildQueues(EndpointSetState set, Manifest manifest) {
		List<PendingRequest> waiting = new ArrayList<>();
		set.queues.values().forEach((queue) -> queue.forEach(waiting::add));
		set.queues.clear();
		set.queues.put(manifest.policySelection().policy(), createQueue(manifest, manifest.policySelection().policy()));
		manifest.policySelection().split().ifPresent((name) -> set.queues.put(name, createQueue(manifest, name)));
		waiting.sort((a, b) -> Long.compare(a.info.id(), b.info.id()));
		waiting.forEach((pending) -> queueOf(pending).add(pending));
		this.state.requests.values()
			.stream()
			.filter((pending) -> pending.endpointSet == set && pending.attempt != null)
			.forEach((pending) -> pending.queue = queueOf(pending));
	}

	private static PolicyQueue createQueue(Manifest manifest, String name) {
		Policy policy = manifest.policies().get(name);
		return new PolicyQueue(name, PolicyBehaviour.of(policy.kind()), PolicySettings.of(policy));
	}

	private PolicyQueue queueOf(PendingRequest pending) {
		String policy = this.state.manifest.policySelection().choose(pending.info.contentHash());
		return pending.endpointSet.queues.get(policy);
	}

	@Override
	public void endpointStatus(String endpoint, EndpointStatus status, long now) {
		EndpointView view = this.state.endpoints.get(endpoint);
		if (view != null) {
			view.updateStatus(status);
			dispatchAllWaiting(now);
		}
	}

	@Override
	public void loadReport(String endpoint, LoadReport report, long now) {
		EndpointView view = this.state.endpoints.get(endpoint);
		if (view != null) {
			view.applyReport(report, this.state.slotAllocator, now);
			dispatchWaiting(this.state.sets.get(view.definition.endpointSet()), now);
		}
	}

	@Override
	public void prefixEvent(String endpoint, long prefixHash, boolean held, long now) {
		EndpointView view = this.state.endpoints.get(endpoint);
		if (view != null) {
			view.updatePrefix(prefixHash, held);
		}
	}

	@Override
	public void requestArrived(RequestInfo request, long now) {
		Optional<ResultCode> refusal = validate(request);
		if (refusal.isPresent()) {
			refuse(request, refusal.get(), MIN_REFUSAL_WAIT_NANOS);
			return;
		}
		CustomerLimit limit = this.state.limits.get(request.customer());
		if (!limit.tryAcquire(now)) {
			refuse(request, ResultCode.CUSTOMER_LIMIT, Math.max(MIN_REFUSAL_WAIT_NANOS, limit.nanosToNext()));
			return;
		}
		Manifest manifest = this.state.manifest;
		RequestClass requestClass = manifest.classes().get(request.requestClass());
		int weight = manifest.customers().get(request.customer()).weight();
		PendingRequest pending = new PendingRequest(request, requestClass, this.state.sets.get(request.endpointSet()),
				limit, weight, now);
		PolicyQueue queue = queueOf(pending);
		Optional<Admission.Refusal> refused = this.admission.check(pending, queue, now);
		if (refused.isPresent()) {
			limit.release();
			handleCapacityRefusal(pending, queue, refused.get().code(), now);
			refuse(request, refused.get().code(), refused.get().waitNanos());
			return;
		}
		admit(pending, queue, now);
	}

	private void handleCapacityRefusal(PendingRequest pending, PolicyQueue queue, ResultCode code, long now) {
		boolean forCapacity = code == ResultCode.TARGET_UNREACHABLE || code == ResultCode.QUEUE_FULL;
		if (forCapacity && queue.behaviour.enforcesTargets()) {
			this.state.blockLowerLanes(pending, queue, now);
		}
	}

	private Optional<ResultCode> validate(RequestInfo request) {
		Manifest manifest = this.state.manifest;
		if (manifest == null) {
			return Optional.of(ResultCode.NOT_READY);
		}
		if (this.state.draining) {
			return Optional.of(ResultCode.STOPPING);
		}
		if (!manifest.customers().containsKey(request.customer())) {
			return Optional.of(ResultCode.UNKNOWN_CUSTOMER);
		}
		if (!manifest.classes().containsKey(request.requestClass())) {
			return Optional.of(ResultCode.UNKNOWN_CLASS);
		}
		if (!manifest.endpointSets().containsKey(request.endpointSet())) {
			return Optional.of(ResultCode.NO_ENDPOINT);
		}
		return Optional.empty();
	}

	private void refuse(RequestInfo request, ResultCode code, long waitNanos) {
		this.state.actions.finish(request.id(), code, this.state.retryAfter(code, waitNanos));
	}

	private void admit(PendingRequest pending, PolicyQueue queue, long now) {
		long content = pending.info.contentHash();
		if (this.state.suspects.crashes(content, now) > 0) {
			pending.isolated = true;
			pending.notBefore = this.state.suspects.isolatedAttemptAllowedAt(content, REMOTE_SUSPECT_DELAY_NANOS, now);
		}
		this.state.requests.put(pending.info.id(), pending);
		this.state.retryBudget(pending.info.requestClass()).deposit();
		queue.add(pending);
		this.state.reschedule(pending, targetUnreachableAt(pending));
		dispatchWaiting(pending.endpointSet, now);
	}

	@Override
	public void callerGone(long requestId, long now) {
		PendingRequest pending = this.state.requests.get(requestId);
		if (pending != null) {
			this.state.finish(pending, ResultCode.CALLER_GONE, 0);
			dispatchWaiting(pending.endpointSet, now);
		}
	}

	@Override
	public void tokensReceived(long attemptId, int count, long now) {
		ActiveAttempt attempt = this.state.attempts.find(attemptId);
		if (attempt == null || count <= 0) {
			return;
		}
		PendingRequest pending = attempt.pending;
		if (attempt.tokens == 0) {
			attempt.endpoint.firstTokenReceived(attempt);
			recordOvercommitStart(attempt, now);
			pending.endpointSet.recordFirstTokenTime(pending, now - attempt.sentAt);
		}
		else {
			attempt.endpoint.tokenGap.update((now - attempt.lastTokenAt) / (double) count);
		}
		attempt.lastTokenAt = now;
		attempt.tokens += count;
		if (pending.attempt == attempt) {
			pending.deliveredTokens += count;
		}
		this.outcomeHandler.clearIfSurvived(attempt, now);
		pending.endpointSet.accountTokens(pending.requestClass.tier() == Tier.LOW, count,
				pending.queue.settings.lowestShare());
	}

	private static void recordOvercommitStart(ActiveAttempt attempt, long now) {
		if (attempt.overcommitted) {
			PendingRequest pending = attempt.pending;
			pending.endpointSet.overcommitWindow.started(now - attempt.sentAt, pending.targetAt - pending.arrivedAt,
					now);
		}
	}

	@Override
	public void attemptEnded(long attemptId, AttemptOutcome outcome, long now) {
		ActiveAttempt attempt = this.state.attempts.find(attemptId);
		if (attempt == null) {
			return;
		}
		EndpointSetState set = attempt.pending.endpointSet;
		this.state.attempts.remove(attempt);
		if (attempt.tokens == 0) {
			recordOvercommitStart(attempt, now);
		}
		attempt.endpoint.attemptEnded(attempt, now);
		set.activeAttempts--;
		set.guaranteedAttempts -= (attempt.guaranteed) ? 1 : 0;
		this.outcomeHandler.attemptEnded(attempt, outcome, now);
		dispatchWaiting(set, now);
	}

	@Override
	public void suspectReported(long contentHash, int crashes, long now) {
		this.state.suspects.record(contentHash, crashes, false, now);
		if (crashes > 0) {
			this.outcomeHandler.cancelSameContent(contentHash, now);
		}
		for (PendingRequest pending : List.copyOf(this.state.requests.values())) {
			if (pending.info.contentHash() == contentHash && pending.state == PendingRequest.State.WAITING) {
				applySuspicion(pending, crashes, now);
			}
		}
		dispatchAllWaiting(now);
	}

	// Applies a changed suspicion to a waiting request.
	private void applySuspicion(PendingRequest pending, int crashes, long now) {
		if (crashes >= SuspectTable.BLOCKING_CRASHES) {
			this.state.finish(pending, ResultCode.CRASHING_CONTENT, 0);
			return;
		}
		pending.queue.remove(pending);
		pending.isolated = crashes > 0;
		pending.notBefore = (pending.isolated) ? this.state.suspects
			.isolatedAttemptAllowedAt(pending.info.contentHash(), REMOTE_SUSPECT_DELAY_NANOS, now) : 0;
		pending.queue.add(pending);
	}

	@Override
	public void drain(long now) {
		this.state.draining = true;
	}

	/**
	 * Return the number of requests without a final response.
	 * @return the number of waiting and running requests
	 */
	public int openRequestCount() {
		return this.state.requests.size();
	}

	@Override
	public void tick(long now) {
		if (now >= this.wakeAt) {
			this.wakeAt = Long.MAX_VALUE;
		}
		while (!this.state.dueRequests.isEmpty() && this.state.dueRequests.first().dueAt <= now) {
			expire(this.state.dueRequests.first(), now);
		}
		if (now - this.reviewedAt >= REVIEW_INTERVAL_NANOS || this.reviewedAt == Long.MIN_VALUE) {
			this.reviewedAt = now;
			this.state.sets.values().forEach((set) -> review(set, now));
		}
		dispatchAllWaiting(now);
	}

	private void review(EndpointSetState set, long now) {
		PolicyQueue queue = set.queues.values().iterator().next();
		set.updateSlowdowns(queue.settings.stragglerFactor());
		if (queue.behaviour.enforcesTargets()) {
			this.scheduler.moveStalledAttempts(set, now);
		}
	}

	private void expire(PendingRequest pending, long now) {
		if (now >= pending.deadlineAt) {
			this.state.finish(pending, ResultCode.DEADLINE_EXCEEDED, 0);
		}
		else if (pending.state == PendingRequest.State.WAITING && this.scheduler.isTargetUnreachable(pending, now)) {
			this.state.refuseUnreachable(pending, now);
		}
		else {
			// The target time may have passed while an endpoint is idle: without a
			// minimum interval the request would be checked again every nanosecond, and
			// the VM would do nothing else.
			long next = Math.max(now + CHECK_INTERVAL_NANOS, targetUnreachableAt(pending));
			this.state.reschedule(pending, Math.min(next, pending.deadlineAt));
		}
	}

	// Returns when a waiting request can no longer meet its target. New observations may
	// have moved that time, so that it is computed again whenever it is reached.
	private static long targetUnreachableAt(PendingRequest pending) {
		boolean waits = pending.state == PendingRequest.State.WAITING && pending.isUndispatched() && !pending.isolated;
		if (!waits || !pending.queue.behaviour.enforcesTargets()) {
			return pending.deadlineAt;
		}
		return Math.min(pending.targetAt - pending.endpointSet.minServiceTime(pending) + 1, pending.deadlineAt);
	}

	private void dispatchAllWaiting(long now) {
		this.state.sets.values().forEach((set) -> this.scheduler.dispatchWaiting(set, now));
		scheduleWake(now);
	}

	private void dispatchWaiting(EndpointSetState set, long now) {
		this.scheduler.dispatchWaiting(set, now);
		scheduleWake(now);
	}

	private void scheduleWake(long now) {
		if (this.state.requests.isEmpty()) {
			return;
		}
		long next = Math.max(now + 1, Math.min(this.state.dueRequests.first().dueAt, now + CHECK_INTERVAL_NANOS));
		if (next < this.wakeAt) {
			this.wakeAt = next;
			this.state.actions.wakeAt(next);
		}
	}

}
