package org.acaciacourse.daemon.endpoint;

import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.acaciacourse.core.dispatch.LoadReport;
import org.acaciacourse.daemon.endpoint.StutteringServer.Position;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

@Timeout(value = 60, unit = TimeUnit.SECONDS)
class EndpointPollerTests {

	/** Two of them ask for the cache's events. */
	private static final int POLLS = 9;

	private final EndpointClient client = new EndpointClient(1);

	private final BlockingQueue<LoadReport> reports = new LinkedBlockingQueue<>();

	private final AtomicLong sequence = new AtomicLong();

	private final EndpointPoller poller = new EndpointPoller(this.client, new EngineStartTimes(),
			new EndpointPoller.Listener() {

				@Override
				public void loadReported(String endpoint, LoadReport report) {
					EndpointPollerTests.this.reports.add(report);
				}

				@Override
				public void prefixReported(String endpoint, long prefixHash, boolean held) {
				}

			});

	@AfterEach
	void stop() {
		this.poller.close();
		this.client.close();
	}

	private String respond(StutteringServer.Request request, boolean repeatsIds) {
		String body = (request.path().equals("/load"))
				? "{\"sequence\":" + this.sequence.incrementAndGet() + ",\"running\":7,\"queued\":2,\"age_ms\":0}"
				: "{\"next\":5,\"events\":[]}";
		return StutteringServer.response(200, (repeatsIds) ? request.id() : "", body);
	}

	// Guards against a late response, to another poll or to a request of a caller, that
	// is taken for the load of an engine, which seemed idle then.
	@ParameterizedTest
	@CsvSource({ "BEHIND_THE_FIRST, true", "BEHIND_THE_FIRST, false", "IDLE_CONNECTION, true", "IDLE_CONNECTION, false",
			"BEFORE_THE_NEXT, true", "BEFORE_THE_NEXT, false", "IN_TWO_PIECES, true", "IN_TWO_PIECES, false" })
	void lateResponseIsNoReport(Position position, boolean repeatsIds) throws Exception {
		try (StutteringServer engine = new StutteringServer(position, (request) -> respond(request, repeatsIds))) {
			this.poller.setEndpoints(Map.of("e", "http://" + engine.address()));
			this.poller.start();
			Set<Long> sequences = new TreeSet<>();
			while (engine.requests().size() < POLLS) {
				LoadReport report = this.reports.poll(20, TimeUnit.SECONDS);
				assertThat(report).isNotNull();
				assertThat(report.running()).isEqualTo(7);
				assertThat(report.queued()).isEqualTo(2);
				assertThat(sequences.add(report.sequence())).isTrue();
			}
			assertThat(sequences.size()).isAtLeast(2);
		}
	}

}
