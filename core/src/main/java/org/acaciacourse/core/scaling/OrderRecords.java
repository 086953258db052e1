package org.acaciacourse.core.scaling;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.acaciacourse.core.scaling.EndpointOrder.Subject;

/**
 * What a holder of the lease knows of its orders, by their subject.
 * <p>
 * Not thread safe: belongs to one {@link EndpointOrders}.
 */
final class OrderRecords {

	/** Beyond the time to boot: the list of endpoints lags. */
	private static final long LIST_LAG_NANOS = Duration.ofSeconds(2).toNanos();

	private final Map<Subject, OrderRecord> records = new HashMap<>();

	/** Another holder may have ordered since. */
	void clear() {
		this.records.clear();
	}

	/**
	 * Return the record of a subject, which is added at the first call.
	 * @param subject the subject
	 * @param now the monotonic time in nanoseconds
	 * @return the record
	 */
	OrderRecord of(Subject subject, long now) {
		return this.records.computeIfAbsent(subject, (unknown) -> new OrderRecord(now));
	}

	/**
	 * Return the number that the platform has accepted last.
	 * @param subject the subject
	 * @return the number, empty if it is not known
	 */
	Optional<Integer> confirmed(Subject subject) {
		return Optional.ofNullable(this.records.get(subject)).flatMap((record) -> record.confirmed);
	}

	boolean isOrdered(Subject subject, int count) {
		return confirmed(subject).equals(Optional.of(count));
	}

	/**
	 * Return whether the platform may have no endpoints to give.
	 * @param subject the subject
	 * @return whether it refused the latest order
	 */
	boolean isUnavailable(Subject subject) {
		return this.records.containsKey(subject) && this.records.get(subject).unavailable;
	}

	/**
	 * Return whether the endpoints of the latest order have had the time to start and to
	 * be listed.
	 * @param subject the subject, which was ordered
	 * @param boot the time that endpoints take to start
	 * @param now the monotonic time in nanoseconds
	 * @return whether they have
	 */
	boolean hasBooted(Subject subject, Duration boot, long now) {
		return now - this.records.get(subject).orderedAt >= boot.toNanos() + LIST_LAG_NANOS;
	}

	/**
	 * The orders of one subject.
	 * <p>
	 * Not thread safe.
	 */
	static final class OrderRecord {

		/** The number that the platform has accepted last, empty if that is not known. */
		private Optional<Integer> confirmed = Optional.empty();

		private long orderedAt;

		private long notBefore;

		private int refusals;

		/**
		 * Whether the platform has refused the latest order, maybe for lack of endpoints.
		 */
		private boolean unavailable;

		private OrderRecord(long now) {
			this.orderedAt = now;
			this.notBefore = now;
		}

		boolean isDelayed(long now) {
			return now - this.notBefore < 0;
		}

		void delay(long until) {
			this.notBefore = until;
		}

		void ordered(long now) {
			this.orderedAt = now;
			this.confirmed = Optional.empty();
		}

		void accepted(int count) {
			this.confirmed = Optional.of(count);
			this.refusals = 0;
			this.unavailable = false;
		}

		/**
		 * Record that the platform refused the order.
		 * @return how often it has in a row
		 */
		int refused() {
			this.refusals++;
			this.unavailable = true;
			return this.refusals;
		}

		void resetRefusals() {
			this.refusals = 0;
		}

	}

}
