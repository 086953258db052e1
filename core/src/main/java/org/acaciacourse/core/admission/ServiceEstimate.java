package org.acaciacourse.core.admission;

import java.time.Duration;
import java.util.OptionalLong;

/**
 * Estimates when endpoints of a pool answer, from what its requests showed: how long
 * plain answers and streams take, which ranks wait, and how far earlier estimates were
 * off. Times are nanoseconds.
 * <p>
 * Not thread safe: belongs to one event loop.
 */
public final class ServiceEstimate {

	private final RankMix mix = new RankMix();

	/** A VM sends a few prompts per second; over less time their number says little. */
	private final RecentWork lately = new RecentWork(Duration.ofSeconds(1).toNanos());

	/** Deferred requests wait for seconds, in which the others overtake them. */
	private final RecentWork overtaking = new RecentWork(Duration.ofSeconds(3).toNanos());

	private final PlainDurations plain = new PlainDurations();

	private final StreamDurations streams = new StreamDurations();

	private final EstimateError[] errors = new EstimateError[RankMix.RANKS + 1];

	private final EstimateError plainError = new EstimateError();

	private final Freshness prefills = new Freshness();

	private final ReturnSchedule returns = new ReturnSchedule();

	public ServiceEstimate() {
		for (int position = 0; position < this.errors.length; position++) {
			this.errors[position] = new EstimateError();
		}
	}

	/**
	 * Return the work that is served before a request and with it.
	 * @param demand the request
	 * @param deferred whether it is deferred
	 * @param waiting the work that waits at the endpoint, without deferred requests
	 * @param deferredWaiting the work of deferred requests there
	 * @param own the work of the request
	 * @param now the time
	 * @return the work in prompt tokens
	 */
	public double workUntilFirstEvent(Demand demand, boolean deferred, double waiting, double deferredWaiting, long own,
			long now) {
		return (deferred) ? waiting + deferredWaiting + own
				: waiting * this.mix.partAhead(demand.position(false), now) + own;
	}

	/**
	 * Return how long a stream waits for a slot.
	 * @param running the requests at the endpoint
	 * @param slots its slots
	 * @param now the time
	 * @return nanoseconds, 0 while a slot is free
	 */
	public long slotWait(int running, int slots, long now) {
		return (long) ((PlainDurations.rounds(running, slots) - 1) * this.streams.mean(now));
	}

	/**
	 * Return how many requests a new one at an endpoint takes the time of.
	 * @param running the requests there
	 * @param slots its slots
	 * @return the number, 1 while a slot is free
	 */
	public static double rounds(int running, int slots) {
		return PlainDurations.rounds(running, slots);
	}

	/**
	 * Return the time until a plain answer is complete.
	 * @param running the requests at the endpoint
	 * @param slots its slots
	 * @param now the time
	 * @return nanoseconds without correction, empty if nothing was observed
	 */
	public OptionalLong plainAnswer(int running, int slots, long now) {
		OptionalLong duration = this.plain.estimate(now);
		return (duration.isEmpty()) ? duration
				: OptionalLong.of((long) (duration.getAsLong() * PlainDurations.rounds(running, slots)));
	}

	/**
	 * Return the time within which the answer is very likely to be complete.
	 * @param demand the request
	 * @param deferred whether it is deferred
	 * @param estimate the estimated time to its first event or plain answer, without
	 * correction
	 * @param now the time
	 * @return nanoseconds
	 */
	public long needed(Demand demand, boolean deferred, long estimate, long now) {
		EstimateError error = error(demand, deferred);
		long afterFirst = (demand.stream()) ? this.streams.estimate(demand.outputTokens(), now) : 0;
		return (long) (estimate * error.correction(now) * error.margin(now)) + afterFirst;
	}

	/**
	 * Return the margin of an estimate.
	 * @param demand the request
	 * @param deferred whether it is deferred
	 * @param now the time
	 * @return the factor
	 */
	public double margin(Demand demand, boolean deferred, long now) {
		return error(demand, deferred).margin(now);
	}

	private EstimateError error(Demand demand, boolean deferred) {
		return (demand.stream()) ? this.errors[demand.position(deferred)] : this.plainError;
	}

	/**
	 * Return how much the learned prefill rate counts against its default.
	 * @param now the time
	 * @return the weight, 0 to 1
	 */
	public double prefillWeight(long now) {
		return this.prefills.weight(now);
	}

	/**
	 * Return the rate at which this VM sends work that isn't deferred, over the last
	 * second.
	 * @param now the time
	 * @return prompt tokens per nanosecond
	 */
	public double recentRate(long now) {
		return this.lately.rate(now);
	}

	/**
	 * Return the rate at which this VM sends work that overtakes deferred requests.
	 * @param now the time
	 * @return prompt tokens per nanosecond, over some seconds
	 */
	public double overtakingRate(long now) {
		return this.overtaking.rate(now);
	}

	/**
	 * Return the work of this VM that waits, without deferred requests.
	 * @return the work at all endpoints together
	 */
	public long waitingWork() {
		return this.mix.waitingWork();
	}

	/**
	 * Return the work of this VM's deferred requests that waits.
	 * @return the work at all endpoints together
	 */
	public long deferredWork() {
		return this.mix.deferredWork();
	}

	/**
	 * Book the return of a refused request.
	 * @param demand the request
	 * @param frontNanos nanoseconds until the work in front of it has drained, without
	 * correction
	 * @param costNanos nanoseconds in which this VM's part of the pool serves it
	 * @param now the time
	 * @return the delay after which its caller is to retry
	 */
	public Duration bookReturn(Demand demand, long frontNanos, long costNanos, long now) {
		double correction = error(demand, false).correction(now);
		return this.returns.book(demand.position(false), (long) (frontNanos * correction),
				(long) (costNanos * correction), demand.fraction(), now);
	}

	/**
	 * Record that a request is sent.
	 * @param demand the request
	 * @param deferred whether it is deferred
	 * @param work its work, 0 for a plain request
	 * @param estimate the estimated time to its first event or plain answer, without
	 * correction, negative if unknown
	 * @param rounds for a plain request, how many requests it takes the time of
	 * @param now the time
	 * @return takes over what the request shows
	 */
	public SentRequest sent(Demand demand, boolean deferred, long work, long estimate, double rounds, long now) {
		int position = demand.position(deferred);
		this.mix.begin(position, work, now);
		if (!deferred) {
			this.lately.begin(work, now);
			this.overtaking.begin(work, now);
		}
		return new Sent(demand, position, work, estimate, rounds, now);
	}

	private final class Sent implements SentRequest {

		private final Demand demand;

		private final int position;

		private final long work;

		private final long estimate;

		private final double rounds;

		private final long sentAt;

		private long firstEventNanos = -1;

		private Sent(Demand demand, int position, long work, long estimate, double rounds, long sentAt) {
			this.demand = demand;
			this.position = position;
			this.work = work;
			this.estimate = estimate;
			this.rounds = rounds;
			this.sentAt = sentAt;
		}

		@Override
		public void firstEvent(long elapsed) {
			long at = this.sentAt + elapsed;
			this.firstEventNanos = elapsed;
			ServiceEstimate.this.mix.done(this.position, this.work, at);
			ServiceEstimate.this.errors[this.position].observe(this.estimate, elapsed, at);
			ServiceEstimate.this.prefills.observed(at);
		}

		@Override
		public void ended(boolean answered, boolean waited, long now) {
			long elapsed = now - this.sentAt;
			if (this.firstEventNanos >= 0) {
				if (answered) {
					ServiceEstimate.this.streams.observe(this.demand.outputTokens(), elapsed - this.firstEventNanos,
							now);
				}
				return;
			}
			ServiceEstimate.this.mix.done(this.position, this.work, now);
			if (this.demand.stream()) {
				if (waited) {
					ServiceEstimate.this.errors[this.position].observeAtLeast(this.estimate, elapsed, now);
				}
			}
			else if (answered) {
				ServiceEstimate.this.plain.observe(this.rounds, elapsed, now);
				if (this.estimate >= 0) {
					ServiceEstimate.this.plainError.observe(this.estimate, elapsed, now);
				}
			}
		}

	}

}
