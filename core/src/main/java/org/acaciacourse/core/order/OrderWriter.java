package org.acaciacourse.core.order;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Reconciles engines with the desired state of the manifest while this process holds the
 * writer lease: it reads the state of an engine, sends one order at a time and reads the
 * state again.
 * <p>
 * When the lease is acquired anew, no earlier state is reused. An engine that checks
 * fencing numbers first receives the new number, in an order to take the role that it
 * already has, and its state is trusted only after that: from then on it refuses orders
 * of the previous writer that are still in flight. An engine that ignores fencing numbers
 * would carry such an order out even after its state was read. As the lease is granted
 * only after the previous writer has stopped sending, the writer waits for the longest
 * time that an order can be in flight, then reads the state and orders what is needed. If
 * an order takes longer than that bound, such an engine deviates from the desired state
 * until the next read.
 * <p>
 * Invariants: an order is sent only with a fencing number that is valid at that moment;
 * at most one order is in flight to an engine; model loads stay within the budget of the
 * weight store, the highest tier first.
 * <p>
 * Not thread safe: all methods must be called by one thread.
 */
public final class OrderWriter {

	private final OrderTiming timing;

	private final ModelLoadBudget budget;

	private final OrderActions actions;

	private final Map<String, EngineRecord> records = new TreeMap<>();

	private Map<String, DesiredEngine> desired = Map.of();

	private List<DesiredEngine> byTier = List.of();

	private long currentFencingNumber;

	/**
	 * Create a writer without a desired state.
	 * @param timing the timing
	 * @param budget the budget for model loads
	 * @param actions carries out the actions that the writer requests
	 */
	public OrderWriter(OrderTiming timing, ModelLoadBudget budget, OrderActions actions) {
		this.timing = timing;
		this.budget = budget;
		this.actions = actions;
	}

	/**
	 * Replace the desired state by that of a newer manifest.
	 * @param engines the desired engines by endpoint name
	 * @param now the current time
	 */
	public void updateDesired(SortedMap<String, DesiredEngine> engines, long now) {
		Map<String, DesiredEngine> previous = this.desired;
		this.desired = new TreeMap<>(engines);
		this.byTier = engines.values()
			.stream()
			.sorted(Comparator.comparing(DesiredEngine::tier).thenComparing(DesiredEngine::endpoint))
			.toList();
		this.records.keySet().retainAll(engines.keySet());
		for (DesiredEngine engine : this.byTier) {
			EngineRecord record = this.records.computeIfAbsent(engine.endpoint(), (name) -> newRecord(engine, now));
			if (!engine.equals(previous.get(engine.endpoint()))) {
				record.desiredStateChanged(now);
			}
		}
	}

	/**
	 * Reconcile all engines that are due. Must be called regularly.
	 * @param fencingNumber the fencing number of the lease, if it is held now
	 * @param now the current time
	 */
	public void tick(OptionalLong fencingNumber, long now) {
		if (fencingNumber.isEmpty()) {
			return;
		}
		if (fencingNumber.getAsLong() != this.currentFencingNumber) {
			this.currentFencingNumber = fencingNumber.getAsLong();
			// Another writer may have just used up the budget of the weight store.
			this.budget.clear(now);
			this.byTier.forEach((engine) -> this.records.put(engine.endpoint(), newRecord(engine, now)));
		}
		this.byTier.forEach((engine) -> reconcile(engine, this.records.get(engine.endpoint()), now));
	}

	/**
	 * Handle the state that was read from an engine.
	 * @param endpoint the name of the endpoint
	 * @param fencingNumber the fencing number of the lease when the read was requested
	 * @param state the state
	 */
	public void stateRead(String endpoint, long fencingNumber, EngineState state) {
		recordIfCurrent(endpoint, fencingNumber).ifPresent((record) -> record.stateRead(state));
	}

	/**
	 * Handle an order that the engine carried out.
	 * @param order the order
	 */
	public void orderCompleted(EngineOrder order) {
		recordIfCurrent(order.endpoint(), order.fencingNumber()).ifPresent((record) -> record.orderCompleted(order));
	}

	/**
	 * Handle an order that the engine refused because it has seen a higher fencing
	 * number.
	 * @param order the order
	 * @param now the current time
	 */
	public void orderRefused(EngineOrder order, long now) {
		recordIfCurrent(order.endpoint(), order.fencingNumber()).ifPresent((record) -> {
			record.resetAndReadAt(now + this.timing.rereadNanos());
			this.actions.higherFencingNumberSeen(order.endpoint(), 0);
		});
	}

	/**
	 * Handle a failed read or order. Its outcome is unknown and an order may still be in
	 * flight, so the engine is read again once that is no longer possible.
	 * @param endpoint the name of the endpoint
	 * @param fencingNumber the fencing number of the lease when the request was sent
	 * @param now the current time
	 */
	public void requestFailed(String endpoint, long fencingNumber, long now) {
		recordIfCurrent(endpoint, fencingNumber)
			.ifPresent((record) -> record.resetAndReadAt(now + this.timing.orderTimeoutNanos()));
	}

	/**
	 * Return the number of engines that had all desired models loaded at their last read.
	 * @return the number of engines
	 */
	public long convergedCount() {
		return this.records.values().stream().filter(EngineRecord::isConverged).count();
	}

	private void reconcile(DesiredEngine engine, EngineRecord record, long now) {
		if (!record.isDue(now)) {
			return;
		}
		if (record.state().isEmpty()) {
			record.requestStarted();
			this.actions.readState(engine.endpoint());
			return;
		}
		EngineState state = record.state().get();
		if (engine.checksFencing() && state.fencingNumber() > this.currentFencingNumber) {
			record.resetAndReadAt(now + this.timing.rereadNanos());
			this.actions.higherFencingNumberSeen(engine.endpoint(), state.fencingNumber());
			return;
		}
		Optional<EngineOrder> next = nextOrder(engine, record, now);
		if (next.isPresent()) {
			record.requestStarted();
			this.actions.send(next.get());
		}
		else if (firstMissing(engine, state).isEmpty()) {
			record.markConverged(now + this.timing.rereadNanos());
		}
	}

	private Optional<EngineOrder> nextOrder(DesiredEngine engine, EngineRecord record, long now) {
		EngineState state = record.state().orElseThrow();
		if (engine.checksFencing() && state.fencingNumber() < this.currentFencingNumber) {
			return Optional.of(order(engine, EngineOrder.Kind.ROLE, state.role()));
		}
		Optional<String> unwanted = firstUnwanted(engine, state);
		if (unwanted.isPresent() && now - record.desiredSince() >= this.timing.unloadDelayNanos()) {
			return Optional.of(order(engine, EngineOrder.Kind.UNLOAD, unwanted.get()));
		}
		return firstMissing(engine, state).filter((model) -> this.budget.tryAcquire(engine.tier(), now))
			.map((model) -> order(engine, EngineOrder.Kind.LOAD, model));
	}

	private EngineOrder order(DesiredEngine engine, EngineOrder.Kind kind, String subject) {
		return new EngineOrder(engine.endpoint(), this.currentFencingNumber, kind, subject);
	}

	private EngineRecord newRecord(DesiredEngine engine, long now) {
		EngineRecord record = new EngineRecord(now);
		record.resetAndReadAt((engine.checksFencing()) ? now : now + this.timing.orderTimeoutNanos());
		return record;
	}

	// A reply to a request of an earlier lease says nothing about the current state.
	private Optional<EngineRecord> recordIfCurrent(String endpoint, long fencingNumber) {
		return Optional.ofNullable(this.records.get(endpoint))
			.filter((record) -> fencingNumber == this.currentFencingNumber);
	}

	private static Optional<String> firstMissing(DesiredEngine engine, EngineState state) {
		TreeSet<String> missing = new TreeSet<>(engine.models());
		missing.removeAll(state.loaded());
		return missing.stream().findFirst();
	}

	private static Optional<String> firstUnwanted(DesiredEngine engine, EngineState state) {
		TreeSet<String> unwanted = new TreeSet<>(state.loaded());
		unwanted.removeAll(engine.models());
		return unwanted.stream().findFirst();
	}

}
