package org.acaciacourse.core.share;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.IntStream;

/**
 * Entry VMs and one pool of engines in virtual time, without a network: the engines serve
 * the most urgent waiting request first, and digests and load are seen late.
 */
final class SharesFleet {

	static final int VMS = 88;

	static final int CUSTOMERS = 24;

	static final long MILLI = 1_000_000L;

	private static final String POOL = "llm";

	/** Digests are told at this interval and seen 0.6 s later, so up to 0.9 s old. */
	private static final int TELL_MILLIS = 300;

	private static final int DELAY_MILLIS = 600;

	private static final int SLOTS = 48;

	/** The engines do this work per millisecond and slot. */
	private static final double SLOT_RATE = 26;

	private static final long CACHE_TOKENS = 444_000;

	private static final int TARGET_MILLIS = 1_527;

	private static final int DEADLINE_MILLIS = 8_145;

	private static final double REPEATING = 0.3;

	private static final int REPEATS = 3;

	private final Random random;

	private final boolean sharing;

	private final List<Vm> vms = new ArrayList<>();

	/** Requests per second by customer; three customers are large. */
	private final double[] rates = new double[CUSTOMERS];

	private final int[] pinned = new int[CUSTOMERS];

	private final PriorityQueue<Request> waiting = new PriorityQueue<>(
			(a, b) -> (a.rank != b.rank) ? Integer.compare(a.rank, b.rank) : Long.compare(a.number, b.number));

	private final List<Request> running = new ArrayList<>();

	private final Deque<PoolLoad> loads = new ArrayDeque<>();

	private final PriorityQueue<Told> inTransit = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));

	private final int[] sent = new int[CUSTOMERS];

	private final int[] onTime = new int[CUSTOMERS];

	private final double[] served = new double[CUSTOMERS];

	private long idleSlotMillis;

	private long millis;

	private long number;

	private boolean repeating;

	private boolean counting;

	SharesFleet(boolean sharing, long seed) {
		this.sharing = sharing;
		this.random = new Random(seed);
		IntStream.range(0, VMS).forEach((i) -> this.vms.add(new Vm(i)));
		for (int i = 0; i < CUSTOMERS; i++) {
			this.rates[i] = (i < 3) ? 30 : 10;
			this.pinned[i] = -1;
		}
	}

	long now() {
		return this.millis * MILLI;
	}

	void scale(int customer, double factor) {
		this.rates[customer] *= factor;
	}

	// All requests of the customer arrive at one VM.
	void pin(int customer, int vm) {
		this.pinned[customer] = vm;
	}

	void repeating(boolean next) {
		this.repeating = next;
	}

	// A frozen or stopped VM tells nothing.
	void silence(int vm) {
		this.vms.get(vm).silent = true;
	}

	void restart(int vm) {
		this.vms.set(vm, new Vm(vm));
	}

	PoolShares shares(int vm) {
		return this.vms.get(vm).shares;
	}

	void clearCounts() {
		for (int i = 0; i < CUSTOMERS; i++) {
			this.sent[i] = 0;
			this.onTime[i] = 0;
			this.served[i] = 0;
		}
		this.idleSlotMillis = 0;
		this.counting = true;
	}

	// Requests that arrive from now on don't count.
	void stopCounting() {
		this.counting = false;
	}

	double onTimeShare(int customer) {
		return (double) this.onTime[customer] / Math.max(1, this.sent[customer]);
	}

	int onTime(int customer) {
		return this.onTime[customer];
	}

	double served(int customer) {
		return this.served[customer];
	}

	long idleSlotMillis() {
		return this.idleSlotMillis;
	}

	void run(long duration) {
		for (long end = this.millis + duration; this.millis < end; this.millis++) {
			arrive();
			serve();
			exchange();
		}
	}

	private void arrive() {
		for (int customer = 0; customer < CUSTOMERS; customer++) {
			double chance = this.rates[customer] / 1_000;
			for (; this.random.nextDouble() < chance; chance--) {
				arrive(customer, 0);
			}
		}
	}

	private void arrive(int customer, int repeat) {
		int at = (this.pinned[customer] >= 0) ? this.pinned[customer] : this.random.nextInt(VMS);
		Request request = new Request();
		request.customer = customer;
		request.repeat = repeat;
		request.number = this.number++;
		request.arrivedAt = this.millis;
		request.events = 5 + this.random.nextInt(15);
		// Some prompts have their shared part cached, others not.
		request.prompt = 1_000 + this.random.nextInt(3_000) + ((this.random.nextInt(8) == 0) ? 6_000 : 0);
		Vm vm = this.vms.get(at);
		request.work = vm.shares.begin("customer-" + customer, now());
		request.work.placedAtEngine(request.prompt, 20, CACHE_TOKENS, now());
		request.rank = (this.sharing && request.work.isOverShare()) ? 1 : 0;
		request.left = request.prompt + 10.0 * request.events;
		request.counted = this.counting;
		this.sent[customer] += (this.counting) ? 1 : 0;
		this.waiting.add(request);
	}

	private void serve() {
		this.running.removeIf((request) -> {
			request.left -= SLOT_RATE;
			if (request.left > 0) {
				return false;
			}
			request.work.began(now());
			IntStream.range(0, request.events).forEach((i) -> request.work.eventForwarded());
			request.work.ended(true, now());
			this.served[request.customer] += (!this.counting) ? 0 : request.prompt + 10.0 * request.events;
			return true;
		});
		expire();
		while (this.running.size() < SLOTS && !this.waiting.isEmpty()) {
			Request request = this.waiting.poll();
			boolean inTime = request.counted && this.millis - request.arrivedAt <= TARGET_MILLIS;
			this.onTime[request.customer] += (inTime) ? 1 : 0;
			this.running.add(request);
		}
		this.idleSlotMillis += (this.waiting.isEmpty()) ? 0 : SLOTS - this.running.size();
	}

	private void expire() {
		List<Request> late = this.waiting.stream()
			.filter((request) -> this.millis - request.arrivedAt > DEADLINE_MILLIS)
			.toList();
		late.forEach((request) -> {
			this.waiting.remove(request);
			request.work.ended(false, now());
			if (this.repeating && request.repeat < REPEATS && this.random.nextDouble() < REPEATING) {
				arrive(request.customer, request.repeat + 1);
			}
		});
	}

	private void exchange() {
		long work = this.waiting.stream()
			.filter((request) -> request.rank == 0)
			.mapToLong((request) -> request.prompt)
			.sum();
		this.loads.add(new PoolLoad(work, SLOTS * SLOT_RATE * TARGET_MILLIS, this.running.size() + this.waiting.size(),
				SLOTS, VMS));
		if (this.loads.size() > DELAY_MILLIS) {
			this.loads.remove();
		}
		for (int i = 0; i < VMS; i++) {
			if (!this.vms.get(i).silent && (this.millis + 37L * i) % TELL_MILLIS == 0) {
				this.inTransit.add(new Told(i, this.vms.get(i).works.own(now()), this.millis + DELAY_MILLIS));
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

	// The load as it was when the latest digests were told.
	private PoolLoad knownLoad() {
		return (this.loads.isEmpty()) ? new PoolLoad(0, 0, 0, SLOTS, VMS) : this.loads.peek();
	}

	private record Told(int vm, CustomerWorks works, long at) {
	}

	private final class Vm {

		private final CustomerShares works = new CustomerShares();

		private final PoolShares shares;

		private boolean silent;

		Vm(int index) {
			this.shares = new PoolShares(this.works, POOL, SharesFleet.this::knownLoad, index, now());
		}

	}

	private static final class Request {

		private int customer;

		private int repeat;

		private boolean counted;

		private int rank;

		private long number;

		private long arrivedAt;

		private int events;

		private long prompt;

		private double left;

		private RequestWork work;

	}

}
