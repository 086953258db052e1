package org.acaciacourse.core.balance;

import java.nio.charset.StandardCharsets;
import java.util.OptionalDouble;

import net.openhft.hashing.LongHashFunction;
import org.acaciacourse.core.measure.DecayingSum;
import org.acaciacourse.core.route.FleetEndpoint;
import org.acaciacourse.core.speed.EndpointSpeed;
import org.acaciacourse.core.speed.PoolSpeeds;

/**
 * The load and health of one endpoint as seen by an entry VM: its own requests there, and
 * what the endpoint and the other entry VMs reported. Invariant: counts never fall below
 * 0.
 * <p>
 * Not thread safe: belongs to one {@link PoolBalancer}.
 */
final class EndpointLoad {

	private static final LongHashFunction HASH = LongHashFunction.xx3();

	/**
	 * How long a load report of an endpoint is valid: engines report their load some
	 * hundred milliseconds late, and requests last seconds.
	 */
	private static final long REPORT_VALIDITY_NANOS = 1_500_000_000L;

	/** The pause after the first failed connection. */
	private static final long MIN_PAUSE_NANOS = 250_000_000L;

	/** The longest pause. It bounds how long a recovered endpoint remains unused. */
	private static final long MAX_PAUSE_NANOS = 2_000_000_000L;

	/**
	 * Weight of a new outcome in the failure rate, which averages over some ten outcomes.
	 */
	private static final double FAILURE_WEIGHT = 0.15;

	/**
	 * Time constant of the failure rate: partial failures of an endpoint last for
	 * seconds.
	 */
	private static final double FAILURE_DECAY_SECONDS = 3;

	/**
	 * An engine sends an event for each running response every few batch steps. A step
	 * takes 35 ms with a full batch and a concurrent prefill.
	 */
	private static final long SUSPECT_AFTER_NANOS = 400_000_000L;

	/**
	 * The room that an endpoint is assumed to have beyond its slots while it must not
	 * refuse requests.
	 */
	private static final double MAX_ROOM_FACTOR = 1.25;

	/** By how much a refusal reduces the room that an endpoint is assumed to have. */
	private static final double ROOM_AFTER_REFUSAL = 0.8;

	/** How much a response adds to it. */
	private static final double ROOM_PER_RESPONSE = 0.05;

	/** The time over which the rate of requests to the endpoint is averaged. */
	private static final long RECENT_NANOS = 300_000_000L;

	private final PeerLoads peers;

	private final RefusalLimit refusalLimit;

	private final RateLimits rateLimits;

	private final EndpointRests rests;

	private final int id;

	private final long hash;

	private final EndpointSpeed speed;

	private FleetEndpoint endpoint;

	private final PrefixCacheModel prefixCache = new PrefixCacheModel();

	private final RestartSign restartSign = new RestartSign();

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

	private double room;

	private boolean ended;

	/** Requests of this VM, each of which counts less as time passes. */
	private final DecayingSum recentRequests = new DecayingSum(RECENT_NANOS);

	EndpointLoad(FleetEndpoint endpoint, PeerLoads peers, RefusalLimit refusalLimit, RateLimits rateLimits,
			EndpointRests rests, PoolSpeeds speeds) {
		this.endpoint = endpoint;
		this.peers = peers;
		this.refusalLimit = refusalLimit;
		this.rateLimits = rateLimits;
		this.rests = rests;
		this.room = endpoint.slots();
		this.id = PeerLoads.idOf(endpoint.run().key());
		this.speed = speeds.endpoint(this.id);
		this.hash = HASH.hashBytes(endpoint.instance().getBytes(StandardCharsets.UTF_8));
	}

	FleetEndpoint endpoint() {
		return this.endpoint;
	}

	PrefixCacheModel prefixCache() {
		return this.prefixCache;
	}

	EndpointSpeed speed() {
		return this.speed;
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

	// All other requests overtake a deferred one, so that none waits for it.
	void beginDeferred(long work) {
		this.inFlight++;
		this.deferredWork += work;
	}

	// The prompt was prefilled: the first event arrived, or the request ended before it.
	void prefillDone(long work) {
		this.waitingWork = Math.max(0, this.waitingWork - work);
	}

	void deferredPrefillDone(long work) {
		this.deferredWork = Math.max(0, this.deferredWork - work);
	}

	// Work of this VM's deferred requests.
	long deferredWork() {
		return this.deferredWork;
	}

	void briefBegan() {
		this.briefInFlight++;
	}

	void briefEnded() {
		this.briefInFlight = Math.max(0, this.briefInFlight - 1);
	}

	// Brief requests of all VMs, including those that other VMs reported.
	int briefRunning() {
		return this.briefInFlight + this.peers.brief(this.id);
	}

	// A response started to stream. From now on an event is expected every few batch
	// steps.
	void streamBegan() {
		this.streams++;
	}

	void streamEnded() {
		this.streams = Math.max(0, this.streams - 1);
	}

	void recordActivity(long now) {
		this.restartSign.dataArrived();
		this.lastActivityAt = now;
	}

	// When any data last arrived from the endpoint, on any connection.
	long lastActivityAt() {
		return this.lastActivityAt;
	}

	// It takes seconds to detect a failed engine by its connections. Streams that stall
	// show it within a fraction of a second.
	boolean isSuspect(long now) {
		return this.streams > 0 && now - this.lastActivityAt > SUSPECT_AFTER_NANOS;
	}

	// Whether the last request could not reach it or lost its connection.
	boolean isLost() {
		return this.consecutiveLosses > 0;
	}

	void end() {
		this.inFlight = Math.max(0, this.inFlight - 1);
	}

	// Returns whether the report shows that the endpoint has started again.
	boolean report(int running, int waiting, long now) {
		boolean restart = this.restartSign.isRestart(running + waiting) && this.endpoint.run().born().isPresent();
		if (restart) {
			startedAgain();
		}
		this.reportedByOthers = Math.max(0, running + waiting - this.inFlight);
		this.reportedWaiting = waiting;
		this.reportedAt = now;
		return restart;
	}

	// The list tells of a later run, which has a load of its own. What responses of this
	// one still state does not count.
	void runEnded() {
		this.ended = true;
		this.rateLimits.ended(this.id);
		this.refusalLimit.ended(this.id);
	}

	// The process of the endpoint seems to be another one, which knows nothing of before.
	// The requests in flight have been sent to it. Rests and limits are statements of the
	// endpoint, which no guess of this VM ends.
	private void startedAgain() {
		this.prefixCache.clear();
		this.speed.forget();
		this.room = this.endpoint.slots();
		this.failureRate = 0;
		this.consecutiveLosses = 0;
		this.pausedUntil = Long.MIN_VALUE / 2;
	}

	void succeeded() {
		this.room = Math.min(this.endpoint.slots() * MAX_ROOM_FACTOR, this.room + ROOM_PER_RESPONSE);
		this.failureRate *= 1 - FAILURE_WEIGHT;
		this.consecutiveLosses = 0;
		this.pausedUntil = Long.MIN_VALUE / 2;
	}

	void failed(long now) {
		this.failureRate += (1 - this.failureRate) * FAILURE_WEIGHT;
		this.failureAt = now;
	}

	// The endpoint closed the connection of a request that has ended by that.
	void connectionReset() {
		this.restartSign.connectionReset(this.inFlight);
	}

	// No connection, or one that broke or timed out.
	void lost(long now) {
		failed(now);
		long pause = Math.min(MAX_PAUSE_NANOS, MIN_PAUSE_NANOS << Math.min(this.consecutiveLosses, 8));
		this.consecutiveLosses++;
		this.pausedUntil = now + pause;
	}

	// The endpoint refused a request for want of room.
	void full(long now, long pause) {
		this.room = Math.max(1, ROOM_AFTER_REFUSAL * Math.min(this.room, running(now)));
		refused(now, this.refusalLimit.pauseNanos(pause, now));
	}

	void refusalLimitStated(int refusalsPerSecond, long now) {
		if (!this.ended) {
			this.refusalLimit.stated(this.id, refusalsPerSecond, now);
		}
	}

	void rateLimitStated(OptionalDouble perSecond, long now) {
		this.rateLimits.record(this.id, perSecond, now);
	}

	// Whether it may get another request; without a limit on refusals it may be asked.
	boolean hasRoom(long now) {
		return !this.refusalLimit.applies(now) || running(now) + untoldRequests(now) < this.room;
	}

	boolean hasFreeSlot(long now) {
		return running(now) < this.endpoint.slots();
	}

	// Requests that the other VMs have sent since their last digests, if they send as
	// many as this one.
	private double untoldRequests(long now) {
		double perNano = this.recentRequests.at(now) / RECENT_NANOS;
		return perNano * this.peers.intervalNanos() / 2 * this.peers.peerCount();
	}

	/**
	 * Record that a request is sent.
	 * @param now the time
	 */
	void requestSent(long now) {
		this.recentRequests.add(1, now);
		this.rateLimits.requestSent(this.id, now);
	}

	// The endpoint reported that it is leaving, or was full.
	void refused(long now, long pause) {
		this.pausedUntil = Math.max(this.pausedUntil, now + pause);
	}

	boolean isPaused(long now) {
		return now < this.pausedUntil;
	}

	// Whether it has asked this VM to send nothing now.
	boolean isResting(long now) {
		return this.rests.isResting(this.endpoint.instance(), now);
	}

	int inFlight() {
		return this.inFlight;
	}

	// Without reports all others may use their shares.
	boolean hasConnectionLeft(ConnectionShare share) {
		return share.hasLeft(this.inFlight, (this.peers.hasReports()) ? this.peers.inFlight(this.id) : share.shared());
	}

	// The work that waits there for all VMs, including what other VMs reported.
	long waitingWork() {
		return this.waitingWork + this.peers.waitingWork(this.id);
	}

	PeerLoads.Load localLoad() {
		return new PeerLoads.Load(this.id, this.inFlight, this.waitingWork, this.briefInFlight);
	}

	// Own requests, plus those of others from the digests of the peers or, without any,
	// from a recent report of the endpoint.
	int running(long now) {
		if (this.peers.hasReports()) {
			return this.inFlight + this.peers.inFlight(this.id);
		}
		boolean fresh = now - this.reportedAt < REPORT_VALIDITY_NANOS;
		return this.inFlight + ((fresh) ? this.reportedByOthers : 0);
	}

	int waiting(long now) {
		boolean fresh = now - this.reportedAt < REPORT_VALIDITY_NANOS;
		return (fresh && !this.peers.hasReports()) ? this.reportedWaiting : 0;
	}

	// The failure rate decays, so that a recovered endpoint gets its share again.
	double failureRate(long now) {
		double age = (now - this.failureAt) / 1e9;
		return this.failureRate * Math.exp(-Math.max(0, age) / FAILURE_DECAY_SECONDS);
	}

}
