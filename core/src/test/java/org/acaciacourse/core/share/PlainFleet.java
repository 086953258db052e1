package org.acaciacourse.core.share;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.IntStream;

/**
 * Entry VMs and one pool of plain endpoints in virtual time, without a network. The
 * endpoints serve in the order of arrival, and full ones refuse. A VM knows its own
 * requests there, and those of the others as they were some time before.
 */
final class PlainFleet {

	private static final int VMS = 88;

	static final int CUSTOMERS = 24;

	private static final long MILLI = 1_000_000L;

	private static final int ENDPOINTS = 4;

	private static final int SLOTS = 6;

	private static final int MAX_WAITING = 24;

	private static final int SERVICE_MILLIS = 57;

	private static final int TARGET_MILLIS = 310;

	private static final int DEADLINE_MILLIS = 1_549;

	private static final int TRY_MILLIS = 15;

	private static final int TELL_MILLIS = 300;

	private static final int DELAY_MILLIS = 600;

	private final Random random;

	private final boolean sharing;

	private final List<Vm> vms = new ArrayList<>();

	private final double[] rates = new double[CUSTOMERS];

	private final List<Deque<Request>> endpoints = new ArrayList<>();

	/** The requests at each endpoint at past times. */
	private final Deque<int[]> past = new ArrayDeque<>();

	private final PriorityQueue<Told> inTransit = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));

	private final int[] sent = new int[CUSTOMERS];

	private final int[] onTime = new int[CUSTOMERS];

	private final int[] served = new int[CUSTOMERS];

	private boolean counting;

	private long busySlotMillis;

	private long countedMillis;

	private long millis;

	PlainFleet(boolean sharing, long seed) {
		this.sharing = sharing;
		this.random = new Random(seed);
		IntStream.range(0, VMS).forEach((i) -> this.vms.add(new Vm(i)));
		IntStream.range(0, ENDPOINTS).forEach((i) -> this.endpoints.add(new ArrayDeque<>()));
		for (int i = 0; i < CUSTOMERS; i++) {
			this.rates[i] = (i < 3) ? 30 : 10;
		}
	}

	private long now() {
		return this.millis * MILLI;
	}

	void scale(int customer, double factor) {
		this.rates[customer] *= factor;
	}

	void count(boolean next) {
		this.counting = next;
	}

	double onTimeShare(int customer) {
		return (double) this.onTime[customer] / Math.max(1, this.sent[customer]);
	}

	int served(int customer) {
		return this.served[customer];
	}

	double busyShare() {
		return (double) this.busySlotMillis / (this.countedMillis * ENDPOINTS * SLOTS);
	}

	void run(long duration) {
		for (long end = this.millis + duration; this.millis < end; this.millis++) {
			arrive();
			this.vms.forEach(Vm::place);
			serve();
			exchange();
		}
	}

	private void arrive() {
		for (int customer = 0; customer < CUSTOMERS; customer++) {
			double chance = this.rates[customer] / 1_000;
			for (; this.random.nextDouble() < chance; chance--) {
				Vm vm = this.vms.get(this.random.nextInt(VMS));
				Request request = new Request(customer, this.millis, this.counting,
						vm.shares.begin("customer-" + customer, now()));
				this.sent[customer] += (this.counting) ? 1 : 0;
				((this.sharing && request.work.isOverShare()) ? vm.held : vm.waiting).add(request);
			}
		}
	}

	private void serve() {
		for (Deque<Request> endpoint : this.endpoints) {
			int slot = 0;
			Iterator<Request> all = endpoint.iterator();
			while (all.hasNext() && slot < SLOTS) {
				Request request = all.next();
				slot++;
				if (++request.ran >= SERVICE_MILLIS) {
					all.remove();
					end(request);
				}
			}
			this.busySlotMillis += (this.counting) ? slot : 0;
		}
		this.countedMillis += (this.counting) ? 1 : 0;
	}

	private void end(Request request) {
		request.vm.own[request.endpoint]--;
		request.work.ended(true, now());
		if (request.counted) {
			this.served[request.customer]++;
			this.onTime[request.customer] += (this.millis - request.arrivedAt <= TARGET_MILLIS) ? 1 : 0;
		}
	}

	private void exchange() {
		this.past.add(this.endpoints.stream().mapToInt(Deque::size).toArray());
		if (this.past.size() > DELAY_MILLIS) {
			this.past.remove();
		}
		for (int i = 0; i < VMS; i++) {
			if ((this.millis + 37L * i) % TELL_MILLIS == 0) {
				this.inTransit.add(new Told(i, this.vms.get(i).works.own(now()), this.millis + DELAY_MILLIS));
				this.vms.get(i).known = this.past.peek();
			}
		}
		while (!this.inTransit.isEmpty() && this.inTransit.peek().at <= this.millis) {
			Told told = this.inTransit.poll();
			for (int i = 0; i < VMS; i++) {
				if (i != told.vm) {
					this.vms.get(i).works.receive("vm" + told.vm, 0, 1, told.works, now());
				}
			}
		}
	}

	private record Told(int vm, CustomerWorks works, long at) {
	}

	private final class Vm {

		private final CustomerShares works = new CustomerShares();

		private final PoolShares shares;

		private final Deque<Request> waiting = new ArrayDeque<>();

		private final Deque<Request> held = new ArrayDeque<>();

		private final int[] own = new int[ENDPOINTS];

		private int[] known = new int[ENDPOINTS];

		Vm(int index) {
			this.shares = new PoolShares(this.works, "files", this::load, index, now());
		}

		private PoolLoad load() {
			return new PoolLoad(0, 0, IntStream.range(0, ENDPOINTS).map(this::running).sum(), ENDPOINTS * SLOTS, VMS);
		}

		// One VM causes a small part of what it is told.
		private int running(int endpoint) {
			return this.known[endpoint] + this.own[endpoint];
		}

		private void place() {
			place(this.waiting, Integer.MAX_VALUE);
			if (PlainFleet.this.millis % TRY_MILLIS == 0) {
				place(this.held, SLOTS);
			}
		}

		private void place(Deque<Request> queue, int limit) {
			while (!queue.isEmpty()) {
				Request request = queue.peek();
				if (PlainFleet.this.millis - request.arrivedAt > DEADLINE_MILLIS) {
					queue.remove();
					request.work.ended(false, now());
					continue;
				}
				int best = best(limit);
				if (best < 0 || (queue == this.held && !this.shares.mayTakeFreeSlot(now()))) {
					return;
				}
				if (queue == this.held) {
					this.shares.freeSlotTaken();
				}
				queue.remove();
				send(request, best);
			}
		}

		private int best(int limit) {
			int offset = PlainFleet.this.random.nextInt(ENDPOINTS);
			return IntStream.range(0, ENDPOINTS)
				.map((i) -> (i + offset) % ENDPOINTS)
				.filter((i) -> running(i) < limit)
				.filter((i) -> PlainFleet.this.endpoints.get(i).size() < SLOTS + MAX_WAITING)
				.findFirst()
				.orElse(-1);
		}

		private void send(Request request, int endpoint) {
			request.vm = this;
			request.endpoint = endpoint;
			this.own[endpoint]++;
			request.work.placedAtService(running(endpoint), SLOTS, now());
			PlainFleet.this.endpoints.get(endpoint).add(request);
		}

	}

	private static final class Request {

		private final int customer;

		private final long arrivedAt;

		private final boolean counted;

		private final RequestWork work;

		private Vm vm;

		private int endpoint;

		private int ran;

		Request(int customer, long arrivedAt, boolean counted, RequestWork work) {
			this.customer = customer;
			this.arrivedAt = arrivedAt;
			this.counted = counted;
			this.work = work;
		}

	}

}
