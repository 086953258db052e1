package org.acaciacourse.core.balance;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.stream.Stream;

import net.openhft.hashing.LongHashFunction;

/**
 * The limits on their requests that endpoints state in their responses. A limit is for
 * all entry VMs together and applies until the endpoint responds without one, so that
 * each VM may use a share of it. The VMs tell each other of the limits with their load
 * digests, the latest statement counts.
 * <p>
 * A share is spent in whole requests, and a VM may save up one of them. Many VMs that
 * each save one up would exceed a low limit together. So only some of them send to an
 * endpoint, the first ones in the order of rendezvous hashing, so few that what they have
 * saved up is within what an endpoint tolerates; the others use other endpoints.
 * <p>
 * Invariant: in any time t the requests of all VMs to an endpoint are at most its limit
 * times t, plus one for each VM that may send, as long as all know the same VMs.
 * <p>
 * Not thread safe: belongs to one event loop.
 */
public final class RateLimits {

	/** An endpoint that is not asked for so long may have no limit any longer. */
	static final long VALIDITY_NANOS = 20_000_000_000L;

	/** How long a statement is repeated in digests. */
	private static final long ANNOUNCED_NANOS = 3_000_000_000L;

	/**
	 * A response without a limit may have been sent before one with it, over another
	 * connection or to another VM.
	 */
	private static final long REORDERING_NANOS = 200_000_000L;

	/**
	 * In four seconds an endpoint tolerates two more requests for each one per second of
	 * its limit, and five more besides; two of these are left for VMs that do not know
	 * the same others yet.
	 */
	private static final int MIN_SENDERS = 3;

	private static final int SENDERS_PER_UNIT = 2;

	private static final double NANOS_PER_SECOND = 1e9;

	private static final LongHashFunction HASH = LongHashFunction.xx3();

	private final String self;

	private final Map<Integer, Limit> limits = new HashMap<>();

	/** The addresses of all VMs that may send, empty while they are not known. */
	private Optional<List<String>> vms;

	private RateLimits(String self, Optional<List<String>> vms) {
		this.self = self;
		this.vms = vms;
	}

	/**
	 * Make the limits of the only entry VM.
	 * @return the limits
	 */
	public static RateLimits ofSingleVm() {
		return new RateLimits("", Optional.of(List.of("")));
	}

	/**
	 * Make the limits of a VM among others that it does not know yet.
	 * @param self its address
	 * @return the limits
	 */
	public static RateLimits of(String self) {
		return new RateLimits(self, Optional.empty());
	}

	/**
	 * Set the VMs among which limits are divided.
	 * @param peers the live VMs, with or without this one
	 */
	public void peers(List<LoadPeer> peers) {
		this.vms = Optional
			.of(Stream.concat(Stream.of(this.self), peers.stream().map(LoadPeer::address)).distinct().toList());
		this.limits.forEach((endpoint, limit) -> limit.share = share(endpoint, limit.perSecond));
	}

	/**
	 * End the limit of an endpoint that has started again.
	 * @param endpoint the id of the endpoint
	 */
	public void ended(int endpoint) {
		this.limits.remove(endpoint);
	}

	/**
	 * Record what an endpoint stated in a response, or that it stated nothing.
	 * @param endpoint the id of the endpoint
	 * @param perSecond the limit in requests per second, empty if there is none
	 * @param now when the response arrived
	 */
	public void record(int endpoint, OptionalDouble perSecond, long now) {
		if (perSecond.isPresent() || this.limits.containsKey(endpoint)) {
			record(endpoint, perSecond, now, now);
		}
	}

	/**
	 * Record a statement that another VM announced.
	 * @param statement the statement
	 * @param now the time
	 */
	public void receive(Statement statement, long now) {
		record(statement.endpoint(), statement.perSecond(), now - statement.ageMillis() * 1_000_000L, now);
	}

	private void record(int endpoint, OptionalDouble perSecond, long statedAt, long now) {
		Limit limit = this.limits.computeIfAbsent(endpoint, (id) -> new Limit(statedAt - REORDERING_NANOS, now));
		boolean endedBefore = perSecond.isEmpty() && !limit.applies;
		if (endedBefore || statedAt - limit.statedAt < ((perSecond.isPresent()) ? 1 : REORDERING_NANOS)) {
			return;
		}
		limit.refill(now);
		limit.statedAt = statedAt;
		boolean begins = perSecond.isPresent() && !limit.applies;
		limit.applies = perSecond.isPresent();
		if (limit.perSecond != perSecond.orElse(0)) {
			limit.perSecond = perSecond.orElse(0);
			limit.share = share(endpoint, limit.perSecond);
		}
		if (begins) {
			limit.permits = firstPermits(endpoint, limit);
		}
	}

	// So that the senders do not all wait for their first whole request.
	private double firstPermits(int endpoint, Limit limit) {
		return (limit.share > 0) ? senderRank(endpoint) * limit.share / limit.perSecond : 0;
	}

	private long senderRank(int endpoint) {
		long own = rank(endpoint, this.self);
		return this.vms.stream().flatMap(List::stream).filter((vm) -> rank(endpoint, vm) < own).count();
	}

	// The requests per second that this VM may send.
	private double share(int endpoint, double perSecond) {
		int most = MIN_SENDERS + (int) Math.min(Integer.MAX_VALUE / 2, SENDERS_PER_UNIT * perSecond);
		if (this.vms.isEmpty()) {
			return perSecond / most;
		}
		int senders = Math.min(most, this.vms.get().size());
		return (senderRank(endpoint) < senders) ? perSecond / senders : 0;
	}

	private static long rank(int endpoint, String vm) {
		return HASH.hashBytes((endpoint + "/" + vm).getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Return whether this VM may send a request now.
	 * @param endpoint the id of the endpoint
	 * @param now the time
	 * @return whether there is no limit, or a part of this VM's share is left
	 */
	public boolean maySend(int endpoint, long now) {
		Limit limit = this.limits.get(endpoint);
		if (limit == null || !limit.isInForce(now)) {
			return true;
		}
		limit.refill(now);
		return limit.permits >= 1;
	}

	/**
	 * Record that a request is sent.
	 * @param endpoint the id of the endpoint
	 * @param now the time
	 */
	public void requestSent(int endpoint, long now) {
		Limit limit = this.limits.get(endpoint);
		if (limit != null && limit.isInForce(now)) {
			limit.refill(now);
			limit.permits--;
			limit.sent++;
		}
	}

	/**
	 * Return how many requests per second this VM may send to an endpoint.
	 * @param endpoint the id of the endpoint
	 * @param now the time
	 * @return this VM's share, empty if there is no limit
	 */
	public OptionalDouble shareOf(int endpoint, long now) {
		Limit limit = this.limits.get(endpoint);
		return (limit != null && limit.isInForce(now)) ? OptionalDouble.of(limit.share) : OptionalDouble.empty();
	}

	/**
	 * Return what the other VMs should know.
	 * @param now the time
	 * @return the recent statements, those of other VMs included, ordered by endpoint
	 */
	public List<Statement> statements(long now) {
		return this.limits.entrySet()
			.stream()
			.filter((entry) -> now - entry.getValue().statedAt < ANNOUNCED_NANOS)
			.sorted(Map.Entry.comparingByKey())
			.map((entry) -> entry.getValue().statement(entry.getKey(), now))
			.toList();
	}

	/**
	 * Remove the limits that have ended, and return the others for the log.
	 * @param now the time
	 * @return the limits by the ids of their endpoints
	 */
	public Map<Integer, Status> statuses(long now) {
		this.limits.values().removeIf((limit) -> !limit.isInForce(now) && now - limit.statedAt >= ANNOUNCED_NANOS);
		Map<Integer, Status> all = new HashMap<>();
		this.limits.forEach((endpoint, limit) -> {
			if (limit.isInForce(now)) {
				all.put(endpoint, new Status(limit.perSecond, limit.share, limit.sent));
			}
		});
		return all;
	}

	/**
	 * A limit that applies.
	 *
	 * @param perSecond the limit in requests per second
	 * @param share the part of it that this VM may use, in requests per second
	 * @param sent the requests that this VM has sent since the endpoint first stated one
	 */
	public record Status(double perSecond, double share, int sent) {
	}

	/**
	 * What an endpoint stated.
	 *
	 * @param endpoint the id of the endpoint
	 * @param perSecond the limit in requests per second, empty if there is none any
	 * longer
	 * @param ageMillis milliseconds since the response that stated it
	 */
	public record Statement(int endpoint, OptionalDouble perSecond, int ageMillis) {

		public Statement {
			if (ageMillis < 0 || !(perSecond.orElse(0) >= 0)) {
				throw new IllegalArgumentException(
						"invalid limit of endpoint " + endpoint + ": " + perSecond + ", " + ageMillis + " ms old");
			}
		}

		boolean isSameLimit(Statement other) {
			return this.endpoint == other.endpoint && this.perSecond.equals(other.perSecond);
		}

	}

	private static final class Limit {

		private boolean applies;

		private double perSecond;

		private double share;

		private double permits;

		private long refilledAt;

		private long statedAt;

		private int sent;

		Limit(long statedAt, long now) {
			this.statedAt = statedAt;
			this.refilledAt = now;
		}

		private boolean isInForce(long now) {
			return this.applies && now - this.statedAt < VALIDITY_NANOS;
		}

		private void refill(long now) {
			this.permits = Math.min(1, this.permits + this.share * (now - this.refilledAt) / NANOS_PER_SECOND);
			this.refilledAt = now;
		}

		private Statement statement(int endpoint, long now) {
			OptionalDouble limit = (this.applies) ? OptionalDouble.of(this.perSecond) : OptionalDouble.empty();
			return new Statement(endpoint, limit, (int) Math.max(0, (now - this.statedAt) / 1_000_000L));
		}

	}

}
