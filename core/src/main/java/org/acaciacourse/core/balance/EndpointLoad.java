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
	private static final long REPORT_VALIDITY_NANOS = 1_500_000_000L;

	/** The first pause after a failed connection. */
	private static final long MIN_PAUSE_NANOS = 250_000_000L;

	/** The longest pause: an endpoint that is back is found again within it. */
	private static final long MAX_PAUSE_NANOS = 2_000_000_000L;

	/** Weight of a new outcome in the failure rate: some ten outcomes make a verdict. */
	private static final double FAILURE_WEIGHT = 0.15;

	/** Faults of part of the answers last for seconds. */
	private static final double FAILURE_DECAY_SECONDS = 3;

	/**
	 * An engine sends an event of each answer for every few steps of its batch, of which
	 * one takes 35 ms with a full batch and a prompt that is read beside it.
	 */
	private static final long SUSPECT_AFTER_NANOS = 400_000_000L;

	private final PeerLoads peers;

	private final int id;

	private final long hash;

	private FleetEndpoint endpoint;

	private final PrefixCacheModel prefixCache = new PrefixCacheModel();

	private int inFlight;

	private int briefInFlight;

	private int streams;

	private long lastActivityAt = Long.MIN_VALUE / 2;

	private long waitingWork;

	private long deferredWork;

	private int reportedByOthers;

	private int reportedWaiting;

	private long reportedAt = Long.MIN_VALUE / 2;

	private double failureRate;

	private long failureAt = Long.MIN_VALUE / 2;

	private int consecutiveLosses;

	private long pausedUntil = Long.MIN_VALUE / 2;

	EndpointLoad(FleetEndpoint endpoint, PeerLoads peers) {
		this.endpoint = endpoint;
		this.peers = peers;
		this.id = PeerLoads.idOf(endpoint.instance());
		this.hash = HASH.hashBytes(endpoint.instance().getBytes(StandardCharsets.UTF_8));
	}

	FleetEndpoint endpoint() {
		return this.endpoint;
	}

	PrefixCacheModel prefixCache() {
		return this.prefixCache;
	}

	int id() {
		return this.id;
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
	void prefillDone(long work) {
		this.waitingWork = Math.max(0, this.waitingWork - work);
	}

	void deferredPrefillDone(long work) {
		this.deferredWork = Math.max(0, this.deferredWork - work);
	}

	// The own work that others go before.
	long deferredWork() {
		return this.deferredWork;
	}

	void briefBegan() {
		this.briefInFlight++;
	}

	void briefEnded() {
		this.briefInFlight = Math.max(0, this.briefInFlight - 1);
	}

	// The brief requests there of all VMs, as far as they tell.
	int briefRunning() {
		return this.briefInFlight + this.peers.brief(this.id);
	}

	// An answer began to come, of which something is due every few steps.
	void streamBegan() {
		this.streams++;
	}

	void streamEnded() {
		this.streams = Math.max(0, this.streams - 1);
	}

	void recordActivity(long now) {
		this.lastActivityAt = now;
	}

	// When anything came from the endpoint last, on any connection.
	long lastActivityAt() {
		return this.lastActivityAt;
	}

	// An engine that went dark is not found by its connections for seconds; answers that
	// stopped in the middle tell it in a fraction of one.
	boolean isSuspect(long now) {
		return this.streams > 0 && now - this.lastActivityAt > SUSPECT_AFTER_NANOS;
	}

	// Whether it could not be reached the last time, or broke off.
	boolean isLost() {
		return this.consecutiveLosses > 0;
	}

	void end() {
		this.inFlight = Math.max(0, this.inFlight - 1);
	}

	void report(int running, int waiting, long now) {
		this.reportedByOthers = Math.max(0, running + waiting - this.inFlight);
		this.reportedWaiting = waiting;
		this.reportedAt = now;
	}

	void succeeded() {
		this.failureRate *= 1 - FAILURE_WEIGHT;
		this.consecutiveLosses = 0;
		this.pausedUntil = Long.MIN_VALUE / 2;
	}

	void failed(long now) {
		this.failureRate += (1 - this.failureRate) * FAILURE_WEIGHT;
		this.failureAt = now;
	}

	// No connection, or one that broke or went silent.
	void lost(long now) {
		failed(now);
		long pause = Math.min(MAX_PAUSE_NANOS, MIN_PAUSE_NANOS << Math.min(this.consecutiveLosses, 8));
		this.consecutiveLosses++;
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
		return this.waitingWork + this.peers.waitingWork(this.id);
	}

	PeerLoads.Load localLoad() {
		return new PeerLoads.Load(this.id, this.inFlight, this.waitingWork, this.briefInFlight);
	}

	// Own requests, and those of others as far as they, or a fresh report, tell.
	int running(long now) {
		if (this.peers.isTold()) {
			return this.inFlight + this.peers.inFlight(this.id);
		}
		boolean fresh = now - this.reportedAt < REPORT_VALIDITY_NANOS;
		return this.inFlight + ((fresh) ? this.reportedByOthers : 0);
	}

	int waiting(long now) {
		boolean fresh = now - this.reportedAt < REPORT_VALIDITY_NANOS;
		return (fresh && !this.peers.isTold()) ? this.reportedWaiting : 0;
	}

	// The failure rate fades, so that an endpoint that is well again gets its share.
	double failureRate(long now) {
		double age = (now - this.failureAt) / 1e9;
		return this.failureRate * Math.exp(-Math.max(0, age) / FAILURE_DECAY_SECONDS);
	}

}
