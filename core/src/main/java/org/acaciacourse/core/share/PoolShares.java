package org.acaciacourse.core.share;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Supplier;

/**
 * Decides which requests in a pool are over their customer's fair share. While the pool
 * is short of capacity, the work that it has finished recently is divided among the
 * customers by {@link FairShare}; of a customer whose work exceeds that, the exceeding
 * fraction of its requests is over share.
 * <p>
 * Invariant: nobody is over share while the pool isn't short, while nothing is known of
 * other VMs, and in the first seconds after a start.
 * <p>
 * Not thread safe: belongs to the event loop.
 */
public final class PoolShares {

	/**
	 * The work of a request whose prompt is not known yet, until some have ended.
	 */
	private static final double DEFAULT_WORK = 1_000;

	/** The mean covers some ten requests. */
	private static final double MEAN_WEIGHT = 0.1;

	/** Digests arrive no more often, and a division takes some thousand steps. */
	private static final long UPDATE_NANOS = 100_000_000L;

	/** Digests are up to 0.9 s old: a shortage that they don't show may still last. */
	private static final long HOLD_NANOS = 1_000_000_000L;

	/** The finished work of a new VM or fleet isn't known before. */
	private static final long WARM_UP_NANOS = RecentWork.TIME_CONSTANT_NANOS;

	/** A VM that had none to send must not send many at once. */
	private static final double MAX_SLOTS_EARNED = 1;

	/** More customers than have work in any few seconds. */
	private static final int MAX_REMAINDERS = 4_096;

	/** The part of the finished work that is divided at least, whatever waits. */
	private static final double MIN_DIVIDED_SHARE = 0.5;

	private final CustomerShares works;

	private final String pool;

	private final int finished;

	private final Supplier<PoolLoad> load;

	private final Random random;

	private final long startedAt;

	/** For each customer, how much of a request over share is due. */
	private final Map<Integer, Double> remainders = new HashMap<>();

	private double meanWork = DEFAULT_WORK;

	private Division division = Division.NONE;

	private long dividedAt;

	private long shortUntil;

	private long overShare;

	private int freeSlots;

	private int vms = 1;

	/** The requests over share that may be sent to plain endpoints. */
	private double slotsEarned;

	private long earnedAt;

	/**
	 * Create the shares of a pool.
	 * @param works the work of all customers
	 * @param pool the name of the pool
	 * @param load determines the load of the pool; asked a few times a second
	 * @param seed of the phases in which the customers' requests are spread: VMs need
	 * different ones
	 * @param now the time
	 */
	public PoolShares(CustomerShares works, String pool, Supplier<PoolLoad> load, long seed, long now) {
		this.works = works;
		this.pool = pool;
		this.finished = CustomerKey.finished(pool);
		this.load = load;
		this.random = new Random(seed);
		this.startedAt = now;
		this.earnedAt = now;
		this.dividedAt = now - UPDATE_NANOS;
		this.shortUntil = now - 1;
	}

	/**
	 * Begin to account for a request and decide whether it is over share.
	 * @param customer its customer, empty for an anonymous request
	 * @param now the time
	 * @return the request
	 */
	public RequestWork begin(String customer, long now) {
		int key = CustomerKey.of(this.pool, customer);
		RequestWork request = new RequestWork(this, key, isNextOverShare(key, now));
		request.queued(now);
		return request;
	}

	private boolean isNextOverShare(int key, long now) {
		double fraction = division(now).overFraction(key);
		if (fraction <= 0) {
			return false;
		}
		if (this.remainders.size() >= MAX_REMAINDERS) {
			this.remainders.clear();
		}
		// Each VM gets few requests of a customer. Without different phases, the first
		// one at each VM would always be within the share.
		double due = this.remainders.computeIfAbsent(key, (k) -> this.random.nextDouble()) + fraction;
		boolean over = due >= 1;
		this.remainders.put(key, (over) ? due - 1 : due);
		this.overShare += (over) ? 1 : 0;
		return over;
	}

	/**
	 * Return how the pool is divided now.
	 * @param now the time
	 * @return the division, at most a tenth of a second old
	 */
	public Division division(long now) {
		if (now - this.dividedAt >= UPDATE_NANOS) {
			this.dividedAt = now;
			PoolLoad current = this.load.get();
			this.freeSlots = Math.max(0, current.slots() - current.running());
			this.vms = current.vms();
			if (current.isShort()) {
				this.shortUntil = now + HOLD_NANOS;
			}
			this.division = (now <= this.shortUntil) ? divide(current.backlog(this.meanWork), now) : Division.NONE;
		}
		return this.division;
	}

	private Division divide(double backlog, long now) {
		if (now - this.startedAt < WARM_UP_NANOS || !this.works.knowsOthers(now)) {
			return Division.UNKNOWN;
		}
		ToldWork sum = this.works.sum(now);
		double done = sum.byKey().getOrDefault(this.finished, 0.0);
		if (done <= 0) {
			return Division.UNKNOWN;
		}
		// What waited before the shares were known would otherwise delay all requests
		// within their shares until the end of the shortage.
		double capacity = Math.max(MIN_DIVIDED_SHARE * done, done - backlog);
		Map<Integer, Double> byCustomer = new HashMap<>();
		List<FairShare.Demand> demands = new ArrayList<>();
		sum.byKey().forEach((key, work) -> {
			if (CustomerKey.isCustomerOf(this.finished, key)) {
				byCustomer.put(key, work);
				// The configuration has no weights of customers.
				demands.add(new FairShare.Demand(work, 1));
			}
		});
		return new Division(true, FairShare.level(demands, capacity - sum.otherWorkOf(this.finished)), capacity,
				byCustomer);
	}

	/**
	 * Return whether a request over share may take a free slot of a plain endpoint. All
	 * VMs see the same free slots, up to 0.9 s late: if each used them at once, requests
	 * within their shares would queue behind theirs. Together they therefore use as many
	 * in the time of a request as are free.
	 * @param now the time
	 * @return whether this VM's part of the free slots permits one more
	 */
	public boolean mayTakeFreeSlot(long now) {
		division(now);
		double nanosPerRequest = this.meanWork / RequestWork.WORK_PER_SLOT_NANO;
		double earned = (now - this.earnedAt) * this.freeSlots / (nanosPerRequest * this.vms);
		this.earnedAt = now;
		this.slotsEarned = Math.min(MAX_SLOTS_EARNED, this.slotsEarned + earned);
		return this.slotsEarned >= 1;
	}

	/** A request over share was sent to a free slot. */
	public void freeSlotTaken() {
		this.slotsEarned -= 1;
	}

	double meanWork() {
		return this.meanWork;
	}

	/**
	 * Return how many requests were over share since the start.
	 * @return the number
	 */
	public long overShare() {
		return this.overShare;
	}

	void charge(int key, double work, long now) {
		this.works.add(key, work, now);
	}

	// Work that was done, on whichever customer's request.
	void finished(double work, long now) {
		this.works.add(this.finished, work, now);
	}

	void ended(double work) {
		this.meanWork += MEAN_WEIGHT * (work - this.meanWork);
	}

	/**
	 * The division of a pool's capacity.
	 *
	 * @param isShort whether the pool is short of capacity
	 * @param level the fair share of a customer in tokens of recent work, infinite if all
	 * fit
	 * @param capacity the work that is divided: what the pool has finished recently less
	 * what has to be caught up with, in tokens
	 * @param works the recent work of the customers
	 */
	public record Division(boolean isShort, double level, double capacity, Map<Integer, Double> works) {

		private static final Division NONE = new Division(false, Double.POSITIVE_INFINITY, 0, Map.of());

		private static final Division UNKNOWN = new Division(true, Double.POSITIVE_INFINITY, 0, Map.of());

		public Division {
			works = Map.copyOf(works);
		}

		double overFraction(int key) {
			double work = this.works.getOrDefault(key, 0.0);
			return (work > this.level) ? 1 - this.level / work : 0;
		}

		/**
		 * Return how many customers are over share.
		 * @return the number
		 */
		public int customersOver() {
			return (int) this.works.values().stream().filter((work) -> work > this.level).count();
		}

	}

}
