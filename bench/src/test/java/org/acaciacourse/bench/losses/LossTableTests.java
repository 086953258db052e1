package org.acaciacourse.bench.losses;

import java.time.Duration;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

class LossTableTests {

	private final LossTable table = new LossTable(Duration.ofSeconds(2));

	private void take(String second, String message) {
		this.table.take("front-1 {\"time\":\"2026-01-01T00:00:%sZ\",\"vm\":\"front-1\",\"message\":%s}"
			.formatted(second, message));
	}

	private void failed(String second, String id, String route, int code, String run) {
		take(second, """
				{"event":"request-failed","request":"%s","code":%d,"run":"%s","route":"%s"}""".formatted(id, code, run,
				route));
	}

	@Nested
	class Causes {

		@ParameterizedTest
		@CsvSource({ "306, unknown, caller left", "206, not-run, entry stopped", "202, not-run, waited at the entry",
				"302, unknown, waited at the endpoint", "300, run, endpoint failed", "301, unknown, endpoint lost",
				"305, unknown, endpoint lost", "205, not-run, refused", "900, unknown, other" })
		void followFromTheCode(int code, String run, String cause) {
			failed("00.000", "a1", "r", code, run);
			assertThat(LossTableTests.this.table.text()).containsMatch(" r +" + cause + " +1  a1");
		}

	}

	// An answer that comes late earns little, and no failure tells of it.
	@Nested
	class LateAnswers {

		private void late(int waited, int sent, int first, int gap) {
			take("00.000", """
					{"event":"request-late","request":"a1","route":"r","waited_ms":%d,"sent_ms":%d,"first_ms":%d,\
					"gap_ms":%d,"target_ms":250,"gap_target_ms":100}""".formatted(waited, sent, first, gap));
		}

		@ParameterizedTest
		@CsvSource({ "300, 310, 400, 0, late: no endpoint yet", "0, 300, 400, 0, late: sent late",
				"1, 2, 400, 500, late: endpoint began late", "1, 2, 200, 150, late: pause too long" })
		void causeIsTheLongestPartOfTheTime(int waited, int sent, int first, int gap, String cause) {
			late(waited, sent, first, gap);
			assertThat(LossTableTests.this.table.text()).containsMatch(" r +" + cause + " +1  a1");
		}

	}

	@Nested
	class Totals {

		// Late answers earn something, and in an overload most have no line.
		@Test
		void lateAnswersAreCountedApart() {
			failed("00.000", "a1", "r", 302, "unknown");
			take("00.100", """
					{"event":"request-late","request":"a2","route":"r","first_ms":9,"target_ms":1,"untold":0}""");
			take("01.100", """
					{"event":"request-late","request":"a3","route":"r","first_ms":9,"target_ms":1,"untold":40}""");
			assertThat(LossTableTests.this.table.text())
				.endsWith("2 late, 40 more without a line of their own\n1 lost in all\n");
			assertThat(LossTableTests.this.table.total()).isEqualTo(1);
		}

	}

	@Nested
	class Rows {

		@Test
		void equalLossesOfOneTimeAreOneRow() {
			take("00.000", "{\"event\":\"started\"}");
			failed("04.100", "a1", "r", 302, "unknown");
			failed("05.900", "a2", "r", 302, "unknown");
			failed("05.950", "a3", "r", 302, "unknown");
			failed("06.100", "a4", "r", 302, "unknown");
			assertThat(LossTableTests.this.table.text())
				.containsMatch(" 4.0  r +waited at the endpoint +3  a1 a2\\R +6.0  r +waited at the endpoint +1  a4");
			assertThat(LossTableTests.this.table.total()).isEqualTo(4);
		}

		// Refusals of one cause beyond ten in a second are told in one line.
		@Test
		void mergedRefusalsCountEach() {
			take("00.000",
					"{\"event\":\"refusals-merged\",\"code\":207,\"count\":31,\"requests\":[\"b1\",\"b2\",\"b3\"]}");
			assertThat(LossTableTests.this.table.text()).containsMatch("- +refused +31  b1 b2\\R");
		}

	}

	@Nested
	class OtherLines {

		@Test
		void answersBeliefsAndDamagedLinesAreNoLosses() {
			take("00.000", "{\"event\":\"request-answered\",\"request\":\"a1\",\"route\":\"r\"}");
			take("00.000", "{\"event\":\"attempt-ended\",\"request\":\"a2\",\"end\":\"BROKEN\"}");
			take("00.000", "\"a text\"");
			LossTableTests.this.table.take("{\"time\":\"2026-01-01T00:00:00Z\",\"vm\":\"f");
			assertThat(LossTableTests.this.table.text()).endsWith("0 lost in all\n");
		}

	}

}
