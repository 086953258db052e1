package org.acaciacourse.daemon.control;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Collectors;

import org.acaciacourse.core.duty.DutyAnswer;
import org.acaciacourse.core.usage.UsageReport;
import org.acaciacourse.core.usage.UsageTiming;
import org.acaciacourse.core.usage.UsageWindows;
import org.acaciacourse.daemon.duty.DutyOptions;
import org.acaciacourse.daemon.duty.FencedCall;
import org.acaciacourse.daemon.duty.UsageSink;
import org.acaciacourse.daemon.link.ControlLink;
import org.acaciacourse.daemon.link.ThriftControlLink;
import org.acaciacourse.daemon.link.UsageMeter;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;

/**
 * Usage reports from entry VMs' links through real replicas to a stand-in platform.
 */
class UsageDutyTests {

	private static final UsageWindows WINDOWS = new UsageWindows(500);

	private static final Duration DUE = Duration.ofSeconds(10);

	private static final UsageTiming TIMING = new UsageTiming(WINDOWS, 1_000, Duration.ofMillis(200).toNanos(), 5_000,
			Duration.ofSeconds(20).toNanos());

	@TempDir
	private Path folder;

	private ControlCluster cluster;

	private final List<Reported> reported = new CopyOnWriteArrayList<>();

	private final List<ControlLink> links = new ArrayList<>();

	private volatile String cutOff = "";

	@BeforeEach
	void start() throws Exception {
		this.cluster = new ControlCluster(this.folder, 3)
			.duties((i) -> new DutyOptions(Optional.of(new DutyOptions.Usage(TIMING, DUE, new Platform())),
					Optional.empty(), Duration.ofSeconds(2), 50))
			.startAll();
		this.cluster.apply(ControlCluster.manifest(1, "urgent"));
	}

	@AfterEach
	void stop() {
		this.links.forEach(ControlLink::close);
		this.cluster.close();
	}

	private UsageMeter entry(String vm) {
		UsageMeter meter = new UsageMeter(WINDOWS);
		ControlLink link = new ThriftControlLink(this.cluster.link(vm), Optional.of(meter));
		link.start(new EntryViewTests.StatusRecorder(), List::of);
		this.links.add(link);
		return meter;
	}

	private static void count(UsageMeter meter, String customer, int requests) {
		for (int i = 0; i < requests; i++) {
			meter.began(customer);
		}
	}

	private long total(String customer) {
		Map<Long, UsageReport> windows = this.reported.stream()
			.map(Reported::report)
			.collect(Collectors.toMap(UsageReport::window, (report) -> report, (first, second) -> {
				assertThat(second).isEqualTo(first);
				return first;
			}));
		return windows.values().stream().mapToLong((report) -> report.counts().getOrDefault(customer, 0L)).sum();
	}

	private void awaitTotal(String customer, long expected) {
		ControlCluster.await(expected + " requests of " + customer, () -> total(customer) >= expected);
		assertThat(total(customer)).isEqualTo(expected);
	}

	@Test
	void requestsOfAllEntriesAreReportedOnce() {
		UsageMeter first = entry("entry-1");
		UsageMeter second = entry("entry-2");
		UsageMeter third = entry("entry-3");
		count(first, "kumasi", 3);
		count(second, "kumasi", 4);
		count(third, "tema", 5);
		awaitTotal("kumasi", 7);
		awaitTotal("tema", 5);
		assertThat(this.reported.stream().map((report) -> report.call().fencingNumber()).distinct().toList())
			.hasSize(1);
	}

	// Guards against usage that is lost with the last poll of an entry that is stopped.
	@Test
	void lastCountsOfAnEntryThatStopsAreReported() {
		UsageMeter running = entry("entry-1");
		UsageMeter stopped = entry("entry-2");
		count(running, "kumasi", 1);
		awaitTotal("kumasi", 1);
		count(stopped, "kumasi", 2);
		this.links.remove(1).close();
		awaitTotal("kumasi", 3);
	}

	// Guards against counts that are lost with the control VM that had them, and a report
	// that differs from that of the holder before.
	@Test
	void nextLeaderReportsWhatEntriesTellAgain() {
		UsageMeter meter = entry("entry-1");
		count(meter, "kumasi", 1);
		awaitTotal("kumasi", 1);
		count(meter, "kumasi", 6);
		this.cluster.stop(this.cluster.leader());
		count(meter, "kumasi", 2);
		awaitTotal("kumasi", 9);
		List<Long> numbers = this.reported.stream().map((report) -> report.call().fencingNumber()).distinct().toList();
		assertThat(numbers).isInOrder();
	}

	// Guards against a duty that stands still while the leader alone has lost the
	// platform.
	@Test
	void anotherVmReportsWhileTheLeaderCannotReachThePlatform() {
		UsageMeter meter = entry("entry-1");
		count(meter, "kumasi", 1);
		awaitTotal("kumasi", 1);
		int leader = this.cluster.leader();
		this.cutOff = "control-" + leader;
		count(meter, "kumasi", 4);
		awaitTotal("kumasi", 5);
		assertThat(this.cluster.leader()).isEqualTo(leader);
		assertThat(this.reported.get(this.reported.size() - 1).call().holder()).isNotEqualTo(this.cutOff);
	}

	private record Reported(UsageReport report, FencedCall call) {
	}

	/** Takes reports of all VMs but the one that is cut off. */
	private final class Platform implements UsageSink {

		@Override
		public CompletionStage<DutyAnswer> report(UsageReport report, FencedCall call) {
			if (call.holder().equals(UsageDutyTests.this.cutOff)) {
				return CompletableFuture.completedFuture(DutyAnswer.UNANSWERED);
			}
			assertThat(call.maySend().getAsBoolean()).isTrue();
			UsageDutyTests.this.reported.add(new Reported(report, call));
			return CompletableFuture.completedFuture(DutyAnswer.ACCEPTED);
		}

	}

}
