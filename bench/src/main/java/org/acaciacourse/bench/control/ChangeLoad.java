package org.acaciacourse.bench.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.HdrHistogram.Histogram;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.dispatch.EndpointStatus;
import org.acaciacourse.core.model.Manifest;
import org.acaciacourse.daemon.inner.SharedKey;
import org.acaciacourse.daemon.link.ControlLink;
import org.acaciacourse.daemon.link.LeaderClient;
import org.acaciacourse.daemon.link.LinkOptions;
import org.acaciacourse.daemon.link.ThriftControlLink;
import org.acaciacourse.protocol.generated.ApplyReply;
import org.acaciacourse.protocol.generated.ApplyRequest;
import org.acaciacourse.protocol.generated.TraceContext;

/**
 * Whole manifests, each with one customer changed, and links that follow. Measured is the
 * time from the call to the answer, and to the moment when the last link has it.
 * <p>
 * Not thread safe but for what the links call.
 */
final class ChangeLoad {

	private static final Duration LIMIT = Duration.ofSeconds(30);

	private final List<String> controls;

	private final SharedKey key;

	private final String operatorKey;

	private final int customers;

	private final Map<Integer, Long> numbers = new TreeMap<>();

	ChangeLoad(List<String> controls, SharedKey key, String operatorKey, int customers) {
		this.controls = controls;
		this.key = key;
		this.operatorKey = operatorKey;
		this.customers = customers;
	}

	String run(Duration length, int entries, long firstNumber, int pauseMillis) throws InterruptedException {
		List<ControlLink> links = new ArrayList<>();
		for (int i = 0; i < entries; i++) {
			ControlLink link = new ThriftControlLink(new LinkOptions("entry-" + i, "accra-a", this.controls, this.key));
			link.start(new Follower(i), List::of);
			links.add(link);
		}
		Histogram answered = new Histogram(3);
		Histogram everywhere = new Histogram(3);
		long until = System.nanoTime() + length.toNanos();
		long number = firstNumber;
		try (LeaderClient caller = new LeaderClient(this.controls)) {
			for (; System.nanoTime() < until; number++) {
				long sent = System.nanoTime();
				apply(caller, number);
				answered.recordValue(System.nanoTime() - sent);
				awaitAll(entries, number);
				everywhere.recordValue(System.nanoTime() - sent);
				TimeUnit.MILLISECONDS.sleep(pauseMillis);
			}
		}
		links.forEach(ControlLink::close);
		return String.format(Locale.ROOT,
				"%d customers, %d entries, %d changes: answered p50 %.1f ms p99 %.1f ms, "
						+ "in force everywhere p50 %.1f ms p99 %.1f ms max %.1f ms",
				this.customers, entries, answered.getTotalCount(), answered.getValueAtPercentile(50) / 1e6,
				answered.getValueAtPercentile(99) / 1e6, everywhere.getValueAtPercentile(50) / 1e6,
				everywhere.getValueAtPercentile(99) / 1e6, everywhere.getMaxValue() / 1e6);
	}

	private void apply(LeaderClient caller, long number) throws InterruptedException {
		ApplyRequest request = new ApplyRequest(this.operatorKey, "bench", manifest(number, this.customers),
				new TraceContext(""));
		ApplyReply reply = caller.call((c) -> c.apply(request), ApplyReply::getResult, LIMIT).orElseThrow();
		if (reply.getResult().getCode() != ResultCode.OK.number()) {
			throw new IllegalStateException("apply ended with " + reply);
		}
	}

	private synchronized void awaitAll(int entries, long number) throws InterruptedException {
		while (this.numbers.values().stream().filter((n) -> n >= number).count() < entries) {
			wait(LIMIT.toMillis());
		}
	}

	private synchronized void got(int entry, long number) {
		this.numbers.put(entry, number);
		notifyAll();
	}

	/**
	 * Make a manifest that differs in one or two customers from the one before.
	 * @param number its number
	 * @param customers how many customers it has
	 * @return its sections
	 */
	static Map<String, Map<String, String>> manifest(long number, int customers) {
		Map<String, Map<String, String>> sections = new TreeMap<>();
		sections.put("manifest", Map.of("number", Long.toString(number), "policy", "tiered"));
		sections.put("policy tiered", Map.of("kind", "tiered"));
		sections.put("endpoint-set draftmind", Map.of("kind", "model", "models", "draftmind-7b"));
		sections.put("class urgent",
				Map.of("tier", "high", "target", "first-token 2 s", "deadline", "60 s", "endpoint-sets", "draftmind"));
		for (int i = 0; i < customers; i++) {
			long rate = 10 + ((i == number % customers) ? number : 0);
			sections.put("customer c" + i, Map.of("key-sha256", String.format(Locale.ROOT, "%064x", i), "classes",
					"urgent", "requests-per-second", Long.toString(rate)));
		}
		return sections;
	}

	/** Notes the numbers that a link gets. */
	private final class Follower implements ControlLink.Listener {

		private final int entry;

		private Follower(int entry) {
			this.entry = entry;
		}

		@Override
		public void manifestChanged(Manifest manifest) {
			got(this.entry, manifest.number());
		}

		@Override
		public void upToDate() {
		}

		@Override
		public void endpointStatusChanged(String endpoint, EndpointStatus status) {
		}

		@Override
		public void crashReported(long contentHash, int crashes) {
		}

		@Override
		public void entryCountChanged(int count) {
		}

	}

}
