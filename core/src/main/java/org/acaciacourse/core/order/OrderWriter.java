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
 * Brings engines to what the manifest wants while this process holds the lease of the
 * writer: it reads an engine's state, sends one order at a time, and looks again.
 * <p>
 * A new tenure trusts nothing from before. An engine that checks fencing numbers is given
 * the new number first, by ordering the role that it has, and only then is its state
 * believed: from then on it refuses what the last writer still has under way. An engine
 * that ignores numbers would carry such an order out after it was read. The lease was
 * granted only after the last writer had stopped sending, so the writer waits for the
 * longest time that an order can be under way, reads, and orders again what should be. If
 * an order takes longer than that bound, such an engine is wrong until the next look.
 * <p>
 * Invariants: no order is sent without a fencing number that holds at that moment; at
 * most one is under way to an engine; loads keep to the budget of the weight store, the
 * highest tier first.
 * <p>
 * Not thread safe: one thread calls it.
 */
public final class OrderWriter {

	private final OrderTiming timing;

	private final WeightBudget budget;

	private final OrderActions actions;

	private final Map<String, EngineRecord> records = new TreeMap<>();

	private Map<String, DesiredEngine> desired = Map.of();

	private List<DesiredEngine> byTier = List.of();

	private long currentFencingNumber;

	/**
	 * Make a writer that has nothing to do.
	 * @param timing its times
	 * @param budget the budget of the weight store
	 * @param actions carries out what it wants done
	 */
	public OrderWriter(OrderTiming timing, WeightBudget budget, OrderActions actions) {
		this.timing = timing;
		this.budget = budget;
		this.actions = actions;
	}

	/**
	 * Take what a newer manifest wants.
	 * @param engines the engines by the name of the endpoint
	 * @param now the time
	 */
	public void desire(SortedMap<String, DesiredEngine> engines, long now) {
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
	 * Go on with whatever is to be done.
	 * @param fencingNumber the number of the lease, if it holds now
	 * @param now the time
	 */
	public void tick(OptionalLong fencingNumber, long now) {
		if (fencingNumber.isEmpty()) {
			return;
		}
		if (fencingNumber.getAsLong() != this.currentFencingNumber) {
			this.currentFencingNumber = fencingNumber.getAsLong();
			// Another writer may have spent all that the weight store permits.
			this.budget.clear(now);
			this.byTier.forEach((engine) -> this.records.put(engine.endpoint(), newRecord(engine, now)));
		}
		this.byTier.forEach((engine) -> reconcile(engine, this.records.get(engine.endpoint()), now));
	}

	/**
	 * An engine's state was read.
	 * @param endpoint the name of the endpoint
	 * @param fencingNumber the number of the lease when the read was asked for
	 * @param state the state
	 */
	public void stateRead(String endpoint, long fencingNumber, EngineState state) {
		recordIfCurrent(endpoint, fencingNumber).ifPresent((record) -> record.stateRead(state));
	}

	/**
	 * An order was carried out.
	 * @param order the order
	 */
	public void done(EngineOrder order) {
		recordIfCurrent(order.endpoint(), order.fencingNumber()).ifPresent((record) -> record.orderCompleted(order));
	}

	/**
	 * An engine refused an order because it has seen a higher number.
	 * @param order the order
	 * @param now the time
	 */
	public void fenced(EngineOrder order, long now) {
		recordIfCurrent(order.endpoint(), order.fencingNumber()).ifPresent((record) -> {
			record.resetAndReadAt(now + this.timing.rereadNanos());
			this.actions.outdated(order.endpoint(), 0);
		});
	}

	/**
	 * A read or an order failed, so that its outcome is unknown. An order may still be
	 * under way; the engine is looked at when it no longer can be.
	 * @param endpoint the name of the endpoint
	 * @param fencingNumber the number of the lease when it was sent
	 * @param now the time
	 */
	public void failed(String endpoint, long fencingNumber, long now) {
		recordIfCurrent(endpoint, fencingNumber)
			.ifPresent((record) -> record.resetAndReadAt(now + this.timing.orderTimeoutNanos()));
	}

	/**
	 * Return how many engines had all they need when they were looked at last.
	 * @return the number
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
			this.actions.outdated(engine.endpoint(), state.fencingNumber());
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

	// An answer that belongs to an earlier tenure says nothing about this one.
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
