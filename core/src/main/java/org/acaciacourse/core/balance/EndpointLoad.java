package org.acaciacourse.core.balance;

import java.nio.charset.StandardCharsets;

import net.openhft.hashing.LongHashFunction;
import org.acaciacourse.core.route.FleetEndpoint;

/**
 * What an entry VM knows of the load and the health of one endpoint: its own requests
 * there, and what the endpoint told of all. Invariant: counts never fall below 0.
 * <p>
 * Not thread safe: belongs to one {@link PoolBalancer}.
 */
final class EndpointLoad {

	private static final LongHashFunction HASH = LongHashFunction.xx3();

	/**
	 * For how long a report of an endpoint's load counts: engines tell their load some
	 * hundred milliseconds late, and requests last seconds.
	 */
	private static final long REPORT_NANOS = 1_500_000_000L;

	/** The first pause after a failed connection. */
	private static final long FIRST_PAUSE_NANOS = 250_000_000L;

	/** The longest pause: an endpoint that is back is found again within it. */
	private static final long LONGEST_PAUSE_NANOS = 2_000_000_000L;

	/** Weight of a new outcome in the failure rate: some ten outcomes make a verdict. */
	private static final double FAILURE_WEIGHT = 0.15;

	/** Faults of part of the answers last for seconds. */
	private static final double FADE_SECONDS = 3;

	/**
	 * An engine sends an event of each answer for every few steps of its batch, of which
	 * one takes 35 ms with a full batch and a prompt that is read beside it.
	 */
	private static final long SUSPECT_NANOS = 400_000_000L;

	private final PeerLoads peers;

	private final int name;

	private final long hash;

	private FleetEndpoint endpoint;

	private final PromptMemory memory = new PromptMemory();

	private int inFlight;

	private int brief;

	private int streams;

	private long heardAt = Long.MIN_VALUE / 2;

	private long waitingWork;

	private long deferredWork;

	private int reportedOthers;

	private int reportedWaiting;

	private long reportedAt = Long.MIN_VALUE / 2;

	private double failureRate;

	private long failureAt = Long.MIN_VALUE / 2;

	private int lostInARow;

	private long pausedUntil = Long.MIN_VALUE / 2;

	EndpointLoad(FleetEndpoint endpoint, PeerLoads peers) {
		this.endpoint = endpoint;
		this.peers = peers;
		this.name = PeerLoads.nameOf(endpoint.instance());
		this.hash = HASH.hashBytes(endpoint.instance().getBytes(StandardCharsets.UTF_8));
	}

	FleetEndpoint endpoint() {
		return this.endpoint;
	}

	PromptMemory memory() {
		return this.memory;
	}

	int name() {
		return this.name;
	}

	// The same at all entry VMs.
	long hash() {
		return this.hash;
	}

	void update(FleetEndpoint next) {
		this.endpoint = next;
	}

	void begin(long work) {
		this.inFlight++;
		this.waitingWork += work;
	}

	// All others go before it, so that nothing waits for it.
	void beginDeferred(long work) {
		this.inFlight++;
		this.deferredWork += work;
	}

	// The prompt was read: the first event came, or the request ended before.
	void promptRead(long work) {
		this.waitingWork = Math.max(0, this.waitingWork - work);
	}

	void deferredRead(long work) {
		this.deferredWork = Math.max(0, this.deferredWork - work);
	}

	// The own work that others go before.
	long deferredWork() {
		return this.deferredWork;
	}

	void briefBegan() {
		this.brief++;
	}

	void briefEnded() {
		this.brief = Math.max(0, this.brief - 1);
	}

	// The brief requests there of all VMs, as far as they tell.
	int brief() {
		return this.brief + this.peers.brief(this.name);
	}

	// An answer began to come, of which something is due every few steps.
	void streamBegan() {
		this.streams++;
	}

	void streamEnded() {
		this.streams = Math.max(0, this.streams - 1);
	}

	void heard(long now) {
		this.heardAt = now;
	}

	// When anything came from the endpoint last, on any connection.
	long heardAt() {
		return this.heardAt;
	}

	// An engine that went dark is not found by its connections for seconds; answers that
	// stopped in the middle tell it in a fraction of one.
	boolean isSuspect(long now) {
		return this.streams > 0 && now - this.heardAt > SUSPECT_NANOS;
	}

	// Whether it could not be reached the last time, or broke off.
	boolean isLost() {
		return this.lostInARow > 0;
	}

	void end() {
		this.inFlight = Math.max(0, this.inFlight - 1);
	}

	void report(int running, int waiting, long now) {
		this.reportedOthers = Math.max(0, running + waiting - this.inFlight);
		this.reportedWaiting = waiting;
		this.reportedAt = now;
	}

	void succeeded() {
		this.failureRate *= 1 - FAILURE_WEIGHT;
		this.lostInARow = 0;
		this.pausedUntil = Long.MIN_VALUE / 2;
	}

	void failed(long now) {
		this.failureRate += (1 - this.failureRate) * FAILURE_WEIGHT;
		this.failureAt = now;
	}

	// No connection, or one that broke or went silent.
	void lost(long now) {
		failed(now);
		long pause = Math.min(LONGEST_PAUSE_NANOS, FIRST_PAUSE_NANOS << Math.min(this.lostInARow, 8));
		this.lostInARow++;
		this.pausedUntil = now + pause;
	}

	// The endpoint said that it is full or leaving.
	void refused(long now, long pause) {
		this.pausedUntil = Math.max(this.pausedUntil, now + pause);
	}

	boolean isPaused(long now) {
		return now < this.pausedUntil;
	}

	int inFlight() {
		return this.inFlight;
	}

	// The work that waits there for all VMs, as far as they tell.
	long waitingWork() {
		return this.waitingWork + this.peers.waitingWork(this.name);
	}

	PeerLoads.Load own() {
		return new PeerLoads.Load(this.name, this.inFlight, this.waitingWork, this.brief);
	}

	// Own requests, and those of others as far as they, or a fresh report, tell.
	int running(long now) {
		if (this.peers.isTold()) {
			return this.inFlight + this.peers.inFlight(this.name);
		}
		boolean fresh = now - this.reportedAt < REPORT_NANOS;
		return this.inFlight + ((fresh) ? this.reportedOthers : 0);
	}

	int waiting(long now) {
		boolean fresh = now - this.reportedAt < REPORT_NANOS;
		return (fresh && !this.peers.isTold()) ? this.reportedWaiting : 0;
	}

	// The failure rate fades, so that an endpoint that is well again gets its share.
	double failureRate(long now) {
		double age = (now - this.failureAt) / 1e9;
		return this.failureRate * Math.exp(-Math.max(0, age) / FADE_SECONDS);
	}

}
