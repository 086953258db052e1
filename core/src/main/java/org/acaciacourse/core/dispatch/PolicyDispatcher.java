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
 * The decisions of one entry VM under the policies of the manifest. The steps are in
 * classes of their own: {@link Admission}, {@link WaitingLine}, {@link Chooser},
 * {@link Pump} and {@link Recovery}.
 * <p>
 * Invariants: each request gets exactly one final answer; a change of policy applies to
 * all that waits at once and touches nothing that runs.
 * <p>
 * Not thread safe: one thread calls it.
 */
public final class PolicyDispatcher implements Dispatcher {

	private static final long WAKE_NANOS = 25_000_000L;

	private static final long COMPARE_NANOS = 250_000_000L;

	private static final long SUSPECT_HOLD_NANOS = 15_000_000_000L;

	private static final long RATE_WAIT_NANOS = 1_000_000_000L;

	private final DispatchState state;

	private final Admission admission;

	private final Pump pump;

	private final Recovery recovery;

	private long wakeAt = Long.MAX_VALUE;

	private long comparedAt = Long.MIN_VALUE;

	/**
	 * Create a dispatcher that knows no manifest yet and refuses all.
	 * @param actions what carries its decisions out
	 * @param seed the seed of its random choices
	 */
	public PolicyDispatcher(DispatchActions actions, long seed) {
		this.state = new DispatchState(actions, seed);
		this.admission = new Admission(this.state);
		this.pump = new Pump(this.state);
		this.recovery = new Recovery(this.state);
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
	 * Take note of how many entry VMs share the traffic, and which of them this one is.
	 * With their numbers the VMs deal free slots out among themselves; without, they draw
	 * lots.
	 * @param index the place of this VM among them, the same order on all VMs
	 * @param count the number of VMs, this one included
	 * @param now the time
	 */
	public void entryShare(int index, int count, long now) {
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
		this.state.sets.values().forEach((set) -> configureLines(set, manifest));
		pumpAll(now);
	}

	private void configureLimit(Customer customer) {
		this.state.limits.computeIfAbsent(customer.name(), (name) -> new CustomerLimit())
			.configure(customer, this.state.entryCount);
	}

	private void configureSet(EndpointSet declared) {
		this.state.sets.computeIfAbsent(declared.name(), (name) -> new ServingSet(declared)).declared = declared;
	}

	private void configureEndpoint(Endpoint endpoint) {
		EndpointView view = this.state.endpoints.computeIfAbsent(endpoint.name(), (name) -> new EndpointView(endpoint));
		view.endpoint = endpoint;
		this.state.sets.get(endpoint.set()).endpoints.add(view);
	}

	// Make the lines anew and move all that waits, in order of arrival.
	private void configureLines(ServingSet set, Manifest manifest) {
		List<PendingRequest> waiting = new ArrayList<>();
		set.lines.values().forEach((line) -> line.forEach(waiting::add));
		set.lines.clear();
		set.lines.put(manifest.policyInForce().policy(), line(manifest, manifest.policyInForce().policy()));
		manifest.policyInForce().split().ifPresent((name) -> set.lines.put(name, line(manifest, name)));
		waiting.sort((a, b) -> Long.compare(a.info.id(), b.info.id()));
		waiting.forEach((pending) -> lineOf(pending).add(pending));
		this.state.requests.values()
			.stream()
			.filter((pending) -> pending.set == set && pending.run != null)
			.forEach((pending) -> pending.line = lineOf(pending));
	}

	private static WaitingLine line(Manifest manifest, String name) {
		Policy policy = manifest.policies().get(name);
		return new WaitingLine(name, PolicyBehaviour.of(policy.kind()), Tuning.of(policy));
	}

	private WaitingLine lineOf(PendingRequest pending) {
		String policy = this.state.manifest.policyInForce().choose(pending.info.contentHash());
		return pending.set.lines.get(policy);
	}

	@Override
	public void endpointStatus(String endpoint, EndpointStatus status, long now) {
		EndpointView view = this.state.endpoints.get(endpoint);
		if (view != null) {
			view.status(status);
			pumpAll(now);
		}
	}

	@Override
	public void loadReport(String endpoint, LoadReport report, long now) {
		EndpointView view = this.state.endpoints.get(endpoint);
		if (view != null) {
			view.report(report, this.state.dealer, now);
			pump(this.state.sets.get(view.endpoint.set()), now);
		}
	}

	@Override
	public void prefixEvent(String endpoint, long prefixHash, boolean held, long now) {
		EndpointView view = this.state.endpoints.get(endpoint);
		if (view != null) {
			view.prefix(prefixHash, held);
		}
	}

	@Override
	public void arrive(RequestInfo request, long now) {
		Optional<ResultCode> refusal = checkKnown(request);
		if (refusal.isPresent()) {
			refuse(request, refusal.get(), RATE_WAIT_NANOS);
			return;
		}
		CustomerLimit limit = this.state.limits.get(request.customer());
		if (!limit.tryAcquire(now)) {
			refuse(request, ResultCode.CUSTOMER_LIMIT, Math.max(RATE_WAIT_NANOS, limit.nanosToNext()));
			return;
		}
		Manifest manifest = this.state.manifest;
		RequestClass requestClass = manifest.classes().get(request.requestClass());
		int weight = manifest.customers().get(request.customer()).weight();
		PendingRequest pending = new PendingRequest(request, requestClass, this.state.sets.get(request.endpointSet()),
				limit, weight, now);
		WaitingLine line = lineOf(pending);
		Optional<Admission.Refusal> refused = this.admission.check(pending, line, now);
		if (refused.isPresent()) {
			limit.release();
			noteRefusal(pending, line, refused.get().code(), now);
			refuse(request, refused.get().code(), refused.get().waitNanos());
			return;
		}
		admit(pending, line, now);
	}

	private void noteRefusal(PendingRequest pending, WaitingLine line, ResultCode code, long now) {
		boolean forCapacity = code == ResultCode.TARGET_UNREACHABLE || code == ResultCode.QUEUE_FULL;
		if (forCapacity && line.behaviour.heedsTargets()) {
			this.state.holdPlace(pending, line, now);
		}
	}

	private Optional<ResultCode> checkKnown(RequestInfo request) {
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

	private void admit(PendingRequest pending, WaitingLine line, long now) {
		long content = pending.info.contentHash();
		if (this.state.suspects.crashes(content, now) > 0) {
			pending.apart = true;
			pending.notBefore = this.state.suspects.trialFrom(content, SUSPECT_HOLD_NANOS, now);
		}
		this.state.requests.put(pending.info.id(), pending);
		this.state.retries(pending.info.requestClass()).earn();
		line.add(pending);
		this.state.reschedule(pending, lateAt(pending));
		pump(pending.set, now);
	}

	@Override
	public void callerGone(long requestId, long now) {
		PendingRequest pending = this.state.requests.get(requestId);
		if (pending != null) {
			this.state.finish(pending, ResultCode.CALLER_GONE, 0);
			pump(pending.set, now);
		}
	}

	@Override
	public void tokens(long attemptId, int count, long now) {
		Run run = this.state.runs.find(attemptId);
		if (run == null || count <= 0) {
			return;
		}
		PendingRequest pending = run.pending;
		if (run.tokens == 0) {
			run.endpoint.firstToken(run);
			noteBeyond(run, now);
			pending.set.learnFirstToken(pending, now - run.sentAt);
		}
		else {
			run.endpoint.tokenGap.learn((now - run.lastTokenAt) / (double) count);
		}
		run.lastTokenAt = now;
		run.tokens += count;
		if (pending.run == run) {
			pending.delivered += count;
		}
		this.recovery.survived(run, now);
		pending.set.bookTokens(pending.requestClass.tier() == Tier.LOW, count, pending.line.tuning.lowestShare());
	}

	private static void noteBeyond(Run run, long now) {
		if (run.beyond) {
			PendingRequest pending = run.pending;
			pending.set.beyond.started(now - run.sentAt, pending.targetAt - pending.arrivedAt, now);
		}
	}

	@Override
	public void ended(long attemptId, AttemptOutcome outcome, long now) {
		Run run = this.state.runs.find(attemptId);
		if (run == null) {
			return;
		}
		ServingSet set = run.pending.set;
		this.state.runs.remove(run);
		if (run.tokens == 0) {
			noteBeyond(run, now);
		}
		run.endpoint.finished(run, now);
		set.running--;
		set.guaranteed -= (run.guaranteed) ? 1 : 0;
		this.recovery.ended(run, outcome, now);
		pump(set, now);
	}

	@Override
	public void suspect(long contentHash, int crashes, long now) {
		this.state.suspects.note(contentHash, crashes, false, now);
		if (crashes > 0) {
			this.recovery.cancelTwins(contentHash, now);
		}
		for (PendingRequest pending : List.copyOf(this.state.requests.values())) {
			if (pending.info.contentHash() == contentHash && pending.state == PendingRequest.State.WAITING) {
				reconsider(pending, crashes, now);
			}
		}
		pumpAll(now);
	}

	// Apply news of a suspicion to a request that waits.
	private void reconsider(PendingRequest pending, int crashes, long now) {
		if (crashes >= SuspectTable.CONVICTION) {
			this.state.finish(pending, ResultCode.CRASHING_CONTENT, 0);
			return;
		}
		pending.line.remove(pending);
		pending.apart = crashes > 0;
		pending.notBefore = (pending.apart)
				? this.state.suspects.trialFrom(pending.info.contentHash(), SUSPECT_HOLD_NANOS, now) : 0;
		pending.line.add(pending);
	}

	@Override
	public void drain(long now) {
		this.state.draining = true;
	}

	/**
	 * Return how many requests have no final answer yet.
	 * @return the number of requests that wait or run
	 */
	public int openRequests() {
		return this.state.requests.size();
	}

	@Override
	public void tick(long now) {
		if (now >= this.wakeAt) {
			this.wakeAt = Long.MAX_VALUE;
		}
		while (!this.state.due.isEmpty() && this.state.due.first().dueAt <= now) {
			expire(this.state.due.first(), now);
		}
		if (now - this.comparedAt >= COMPARE_NANOS || this.comparedAt == Long.MIN_VALUE) {
			this.comparedAt = now;
			this.state.sets.values().forEach((set) -> review(set, now));
		}
		pumpAll(now);
	}

	private void review(ServingSet set, long now) {
		WaitingLine line = set.lines.values().iterator().next();
		set.compareSpeeds(line.tuning.stragglerFactor());
		if (line.behaviour.heedsTargets()) {
			this.pump.moveStalled(set, now);
		}
	}

	private void expire(PendingRequest pending, long now) {
		if (now >= pending.deadlineAt) {
			this.state.finish(pending, ResultCode.DEADLINE_EXCEEDED, 0);
		}
		else if (pending.state == PendingRequest.State.WAITING && this.pump.isLate(pending, now)) {
			this.state.refuseLate(pending, now);
		}
		else {
			// Its time may be past while an endpoint is idle: without the pause it
			// would be looked at each nanosecond, and the VM would do nothing else.
			long next = Math.max(now + WAKE_NANOS, lateAt(pending));
			this.state.reschedule(pending, Math.min(next, pending.deadlineAt));
		}
	}

	// Return when a waiting request cannot meet its target any more. What was learnt may
	// have moved that time, so that it is worked out anew each time it is reached.
	private static long lateAt(PendingRequest pending) {
		boolean waits = pending.state == PendingRequest.State.WAITING && pending.isUntouched() && !pending.apart;
		if (!waits || !pending.line.behaviour.heedsTargets()) {
			return pending.deadlineAt;
		}
		return Math.min(pending.targetAt - pending.set.leastTime(pending) + 1, pending.deadlineAt);
	}

	private void pumpAll(long now) {
		this.state.sets.values().forEach((set) -> this.pump.run(set, now));
		scheduleWake(now);
	}

	private void pump(ServingSet set, long now) {
		this.pump.run(set, now);
		scheduleWake(now);
	}

	private void scheduleWake(long now) {
		if (this.state.requests.isEmpty()) {
			return;
		}
		long next = Math.max(now + 1, Math.min(this.state.due.first().dueAt, now + WAKE_NANOS));
		if (next < this.wakeAt) {
			this.wakeAt = next;
			this.state.actions.wakeAt(next);
		}
	}

}
