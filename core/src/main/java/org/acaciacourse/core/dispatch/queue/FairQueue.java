package org.acaciacourse.core.dispatch.queue;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * A queue of several flows, served by start-time fair queueing (Goyal, Vin and Cheng
 * 1996): each flow with waiting items is served in proportion to its weight, regardless
 * of how much it sends, and a flow that was idle starts level with the others. On arrival
 * only an estimate of the cost is needed, and each operation takes logarithmic time in
 * the number of flows.
 * <p>
 * Invariants: a flow is in {@link #order} if and only if it has items; the start tag of a
 * flow that becomes active is not behind the virtual time. A flow that becomes idle is
 * removed if its start tag is not ahead of the virtual time or there are more than
 * {@link #MAX_IDLE_FLOWS} flows, so that memory is bounded by the number of items and by
 * that limit.
 * <p>
 * Not thread safe: owned by one dispatcher.
 *
 * @param <T> the type of the items
 */
public final class FairQueue<T> {

	private static final int MAX_IDLE_FLOWS = 4_096;

	private final Map<String, Flow<T>> flows = new HashMap<>();

	private final TreeSet<Flow<T>> order = new TreeSet<>(
			Comparator.comparingDouble((Flow<T> flow) -> flow.startTag).thenComparing((flow) -> flow.name));

	private double virtualTime;

	private int size;

	/**
	 * Append an item to its flow.
	 * @param flowName the name of the flow
	 * @param item the item
	 */
	public void add(String flowName, T item) {
		Flow<T> flow = activate(flowName);
		flow.items.addLast(item);
		this.size++;
	}

	/**
	 * Insert an item before the others of its flow.
	 * @param flowName the name of the flow
	 * @param item the item
	 */
	public void addFirst(String flowName, T item) {
		Flow<T> flow = activate(flowName);
		flow.items.addFirst(item);
		this.size++;
	}

	/**
	 * Return the oldest item of the flow that is served next.
	 * @return the item, empty if the queue is empty
	 */
	public Optional<T> oldest() {
		return (this.order.isEmpty()) ? Optional.empty() : Optional.of(this.order.first().items.getFirst());
	}

	/**
	 * Return the newest item of the flow that is served next.
	 * @return the item, empty if the queue is empty
	 */
	public Optional<T> newest() {
		return (this.order.isEmpty()) ? Optional.empty() : Optional.of(this.order.first().items.getLast());
	}

	/**
	 * Remove an item to serve it and charge its flow.
	 * @param flowName the name of the flow
	 * @param item the item, oldest or newest of its flow
	 * @param charge the estimated cost divided by the weight of the flow
	 */
	public void serve(String flowName, T item, double charge) {
		Flow<T> flow = this.flows.get(flowName);
		this.virtualTime = Math.max(this.virtualTime, flow.startTag);
		this.order.remove(flow);
		unlink(flow, item);
		flow.startTag += charge;
		reorderOrForget(flow);
	}

	/**
	 * Remove an item without serving it.
	 * @param flowName the name of the flow
	 * @param item the item
	 * @return whether the item was in the queue
	 */
	public boolean remove(String flowName, T item) {
		Flow<T> flow = this.flows.get(flowName);
		if (flow == null || !flow.items.contains(item)) {
			return false;
		}
		this.order.remove(flow);
		unlink(flow, item);
		reorderOrForget(flow);
		return true;
	}

	/**
	 * Return the number of waiting items.
	 * @return the number of items
	 */
	public int size() {
		return this.size;
	}

	/**
	 * Return the number of waiting items of a flow.
	 * @param flowName the name of the flow
	 * @return the number of items
	 */
	public int sizeOf(String flowName) {
		Flow<T> flow = this.flows.get(flowName);
		return (flow != null) ? flow.items.size() : 0;
	}

	/**
	 * Return the number of flows with waiting items.
	 * @return the number of flows
	 */
	public int flows() {
		return this.order.size();
	}

	/**
	 * Call an action for each waiting item.
	 * @param action the action
	 */
	public void forEach(Consumer<T> action) {
		this.order.forEach((flow) -> flow.items.forEach(action));
	}

	private void unlink(Flow<T> flow, T item) {
		if (flow.items.peekLast() == item) {
			flow.items.removeLast();
		}
		else {
			flow.items.remove(item);
		}
		this.size--;
	}

	private void reorderOrForget(Flow<T> flow) {
		if (!flow.items.isEmpty()) {
			this.order.add(flow);
		}
		else if (flow.startTag <= this.virtualTime || this.flows.size() > MAX_IDLE_FLOWS) {
			this.flows.remove(flow.name);
		}
	}

	private Flow<T> activate(String name) {
		Flow<T> flow = this.flows.computeIfAbsent(name, Flow::new);
		if (flow.items.isEmpty()) {
			flow.startTag = Math.max(flow.startTag, this.virtualTime);
			this.order.add(flow);
		}
		return flow;
	}

	/** The items of one flow and the start tag of the first of them. */
	private static final class Flow<T> {

		private final String name;

		private final ArrayDeque<T> items = new ArrayDeque<>();

		private double startTag;

		private Flow(String name) {
			this.name = name;
		}

	}

}
