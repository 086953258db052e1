package org.acaciacourse.daemon.telemetry;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

import org.acaciacourse.protocol.generated.ClassReport;

/**
 * Results per policy epoch and class, which the control VMs collect to compare policies.
 * An epoch begins with the manifest that activates a policy. Only the latest epochs are
 * kept, so that memory stays bounded whatever the number of policy changes.
 * <p>
 * Thread safe.
 */
public final class ClassResults {

	private static final int MAX_EPOCHS = 16;

	private final Map<Key, Tally> tallies = new ConcurrentHashMap<>();

	/**
	 * Return the counters of a class under a policy.
	 * @param policy the name of the policy
	 * @param epoch the number of the manifest that activated it
	 * @param requestClass the name of the class
	 * @return the counters to increment
	 */
	public Tally tally(String policy, long epoch, String requestClass) {
		Key key = new Key(policy, epoch, requestClass);
		Tally known = this.tallies.get(key);
		return (known != null) ? known : add(key);
	}

	private Tally add(Key key) {
		Tally tally = this.tallies.computeIfAbsent(key, (k) -> new Tally());
		List<Long> epochs = this.tallies.keySet()
			.stream()
			.map(Key::epoch)
			.distinct()
			.sorted(Comparator.reverseOrder())
			.toList();
		if (epochs.size() > MAX_EPOCHS) {
			long oldest = epochs.get(MAX_EPOCHS - 1);
			this.tallies.keySet().removeIf((k) -> k.epoch < oldest);
		}
		return tally;
	}

	/**
	 * Return all results.
	 * @return a report for each policy epoch and class
	 */
	public List<ClassReport> reports() {
		return this.tallies.entrySet().stream().map((entry) -> entry.getValue().report(entry.getKey())).toList();
	}

	/**
	 * Counters of one class under one policy.
	 * <p>
	 * Thread safe.
	 */
	public static final class Tally {

		private final LongAdder arrived = new LongAdder();

		private final LongAdder answered = new LongAdder();

		private final LongAdder met = new LongAdder();

		private final LongAdder refused = new LongAdder();

		private final LongAdder failed = new LongAdder();

		private final LongAdder delivered = new LongAdder();

		private final LongAdder wasted = new LongAdder();

		private final LongAdder retries = new LongAdder();

		private final LongAdder hedges = new LongAdder();

		private ClassReport report(Key key) {
			return new ClassReport(key.policy, key.epoch, key.requestClass, this.arrived.sum(), this.answered.sum(),
					this.met.sum(), this.refused.sum(), this.failed.sum(), this.delivered.sum(), this.wasted.sum(),
					this.retries.sum(), this.hedges.sum());
		}

		void requestArrived() {
			this.arrived.increment();
		}

		void responseCompleted(boolean targetMet, long tokens) {
			this.answered.increment();
			this.delivered.add(tokens);
			if (targetMet) {
				this.met.increment();
			}
		}

		void requestRefused() {
			this.refused.increment();
		}

		void requestFailed() {
			this.failed.increment();
		}

		void tokensWasted(long tokens) {
			this.wasted.add(tokens);
		}

		void retryStarted() {
			this.retries.increment();
		}

		void hedgeStarted() {
			this.hedges.increment();
		}

	}

	private record Key(String policy, long epoch, String requestClass) {
	}

}
