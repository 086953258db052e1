package org.acaciacourse.core.balance;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;

import org.acaciacourse.core.measure.RetryBudgetChecker;

/**
 * Simulates entry VMs that share one retry budget: callers, endpoints that refuse,
 * processes that are killed, frozen and disconnected, and control VMs that count the
 * polling VMs. Counts all requests when they are sent and all retries when they reach an
 * endpoint, as an observer of the whole system does.
 * <p>
 * Not thread safe.
 */
final class RetryFleet {

	static final long MILLI = 1_000_000L;

	static final long SECOND = 1000 * MILLI;

	private static final long TICK = 20 * MILLI;

	private static final long POLL_INTERVAL = 900 * MILLI;

	/** How long control counts an entry VM after its last poll. */
	private static final long POLL_TIMEOUT = 10 * SECOND;

	private static final int MAX_RETRIES = 5;

	private final Rule rule;

	private final Random random;

	private final Map<Integer, Entry> entries = new TreeMap<>();

	private final Map<Integer, Long> polled = new HashMap<>();

	private final RetryBudgetChecker windows;

	private long now;

	private boolean controlUp = true;

	private double requestsPerSecond;

	private double refusedShare;

	private int preferred = -1;

	private long retryDelay;

	private boolean callersWait;

	private long endpointsStalledUntil;

	/** Retries that stalled endpoints have not read yet. */
	private final List<Entry> unread = new ArrayList<>();

	RetryFleet(Rule rule, int vms, long seed) {
		this.rule = rule;
		this.windows = new RetryBudgetChecker(rule.window(), rule.ratio(), rule.minimum());
		this.random = new Random(seed);
		for (int vm = 0; vm < vms; vm++) {
			start(vm);
		}
	}

	Random random() {
		return this.random;
	}

	List<Integer> vms() {
		return List.copyOf(this.entries.keySet());
	}

	long seconds() {
		return this.now / SECOND;
	}

	int retryCount() {
		return this.windows.retryCount();
	}

	// Sets the requests per second of all callers, and the share of attempts that is
	// refused.
	void load(double perSecond, double refusedShare) {
		this.requestsPerSecond = perSecond;
		this.refusedShare = refusedShare;
	}

	// Lets all callers use one VM while it is serving; -1 spreads them.
	void prefer(int vm) {
		this.preferred = vm;
	}

	// Sets how long retries wait for an endpoint or a connection.
	void delayRetries(long nanos) {
		this.retryDelay = nanos;
	}

	// Lets callers also use frozen VMs, which read the requests when they run again.
	void waitForFrozen() {
		this.callersWait = true;
	}

	// Stops all endpoints from reading. They read what was sent when they run again.
	void stallEndpoints(long nanos) {
		this.endpointsStalledUntil = this.now + nanos;
	}

	/** Start a process, replacing that of the VM. */
	void start(int vm) {
		this.entries.put(vm, new Entry(vm));
	}

	void remove(int vm) {
		this.entries.remove(vm);
		this.polled.remove(vm);
	}

	void freeze(int vm, long nanos) {
		this.entries.get(vm).frozenUntil = this.now + nanos;
	}

	// Disconnects the VM from control. It continues to serve.
	void disconnect(int vm, long nanos) {
		this.entries.get(vm).disconnectedUntil = this.now + nanos;
	}

	// Stops or starts control, which then has no record of earlier polls.
	void control(boolean up) {
		this.controlUp = up;
		this.polled.clear();
	}

	void run(long nanos) {
		long end = this.now + nanos;
		while (this.now < end) {
			this.now += TICK;
			if (this.now >= this.endpointsStalledUntil) {
				this.unread.forEach((entry) -> entry.arrive(this.now));
				this.unread.clear();
			}
			this.entries.values().forEach(Entry::step);
			double expected = this.requestsPerSecond * TICK / SECOND;
			for (int i = (int) expected + ((this.random.nextDouble() < expected % 1) ? 1 : 0); i > 0; i--) {
				request();
			}
		}
	}

	private void request() {
		this.windows.addRequest(this.now);
		List<Entry> serving = this.entries.values()
			.stream()
			.filter((entry) -> this.callersWait || !entry.isFrozen())
			.toList();
		if (serving.isEmpty()) {
			return;
		}
		Entry chosen = serving.get(this.random.nextInt(serving.size()));
		serving.stream().filter((entry) -> entry.vm == this.preferred).findFirst().orElse(chosen).serve();
	}

	/**
	 * Return the first window with more retries than the rule permits.
	 * @return the counts in it
	 */
	Optional<String> excess() {
		return this.windows.findViolation();
	}

	/**
	 * The rule that all entry VMs together obey.
	 *
	 * @param window the length of any time span that is counted, in nanoseconds
	 * @param ratio retries for each request
	 * @param minimum retries whatever the requests are
	 */
	record Rule(long window, double ratio, double minimum) {
	}

	/** One process on a VM. */
	private final class Entry {

		private final int vm;

		private final RetryAllowance allowance = new RetryAllowance(RetryFleet.this.now, RetryFleet.this.rule.window(),
				RetryFleet.this.rule.ratio(), RetryFleet.this.rule.minimum());

		private final SharerCount sharers = new SharerCount();

		private final StallDetector stalls = new StallDetector(RetryFleet.this.now, RetryFleet.this.now / MILLI);

		/** When the waiting retries are sent. */
		private final Deque<Long> waiting = new ArrayDeque<>();

		/** Requests that were sent while the process was frozen. */
		private int unreadRequests;

		private long pollAt;

		private long tickAt;

		private long frozenUntil;

		private long disconnectedUntil;

		Entry(int vm) {
			this.vm = vm;
			this.pollAt = RetryFleet.this.now + RetryFleet.this.random.nextInt(900) * MILLI;
		}

		private boolean isFrozen() {
			return RetryFleet.this.now < this.frozenUntil;
		}

		private void step() {
			long at = RetryFleet.this.now;
			if (isFrozen()) {
				return;
			}
			for (; this.unreadRequests > 0; this.unreadRequests--) {
				serve();
			}
			while (!this.waiting.isEmpty() && this.waiting.getFirst() <= at) {
				this.waiting.removeFirst();
				send(at);
			}
			if (at >= this.tickAt) {
				this.tickAt = at + StallDetector.TICK_MILLIS * MILLI;
				this.stalls.tick(at, at / MILLI);
			}
			if (at >= this.pollAt) {
				this.pollAt = at + POLL_INTERVAL;
				if (at >= this.disconnectedUntil && RetryFleet.this.controlUp) {
					poll(at);
				}
				this.allowance.sharers(this.sharers.sharers(at));
			}
		}

		private void poll(long at) {
			RetryFleet.this.polled.put(this.vm, at);
			RetryFleet.this.polled.values().removeIf((last) -> at - last > POLL_TIMEOUT);
			this.sharers.update(RetryFleet.this.polled.size(), at);
		}

		private void serve() {
			long at = RetryFleet.this.now;
			if (isFrozen()) {
				this.unreadRequests++;
				return;
			}
			if (!this.stalls.isCatchingUp(at, at / MILLI)) {
				this.allowance.request(at);
			}
			for (int i = 0; i < MAX_RETRIES
					&& RetryFleet.this.random.nextDouble() < RetryFleet.this.refusedShare; i++) {
				if (!this.allowance.reserve(at)) {
					return;
				}
				if (RetryFleet.this.retryDelay > 0) {
					this.waiting.addLast(at + RetryFleet.this.retryDelay);
					return;
				}
				send(at);
			}
		}

		private void send(long at) {
			if (!this.allowance.send(at)) {
				return;
			}
			if (at < RetryFleet.this.endpointsStalledUntil) {
				RetryFleet.this.unread.add(this);
			}
			else {
				arrive(at);
			}
		}

		private void arrive(long at) {
			this.allowance.arrived(at);
			RetryFleet.this.windows.addRetry(at);
		}

	}

}
