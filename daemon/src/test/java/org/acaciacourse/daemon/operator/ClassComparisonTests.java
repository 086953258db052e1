package org.acaciacourse.daemon.operator;

import java.util.List;

import org.acaciacourse.core.measure.WilsonInterval;
import org.acaciacourse.protocol.generated.ClassReport;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class ClassComparisonTests {

	@Nested
	class Interval {

		@Test
		void agreesWithPublishedValues() {
			// Newcombe, "Two-sided confidence intervals for the single proportion", 1998,
			// table I, method 3: 81 of 263, 15 of 148, 0 of 20 and 1 of 29.
			assertInterval(81, 263, 0.2553, 0.3662);
			assertInterval(15, 148, 0.0624, 0.1605);
			assertInterval(0, 20, 0.0000, 0.1611);
			assertInterval(1, 29, 0.0061, 0.1718);
		}

		@Test
		void coversAllValuesForAnEmptySample() {
			assertThat(WilsonInterval.of(0, 0)).isEqualTo(new WilsonInterval(0, 1));
		}

		private void assertInterval(long hits, long sample, double low, double high) {
			assertThat(WilsonInterval.of(hits, sample).low()).isWithin(5e-5).of(low);
			assertThat(WilsonInterval.of(hits, sample).high()).isWithin(5e-5).of(high);
		}

	}

	@Nested
	class Rows {

		@Test
		void addUpEntriesAndKeepPoliciesApart() {
			List<ClassComparison> rows = ClassComparison
				.of(List.of(report("tiered", 8, 6), report("fifo", 4, 1), report("tiered", 2, 2)));
			assertThat(rows).hasSize(2);
			assertThat(rows.get(0).policy()).isEqualTo("fifo");
			assertThat(rows.get(1).sample()).isEqualTo(14);
			assertThat(rows.get(1).attainment()).isWithin(1e-9).of(8.0 / 14);
			assertThat(rows.get(1).wastedShare()).isWithin(1e-9).of(0.25);
		}

		private ClassReport report(String policy, long answered, long met) {
			return new ClassReport(policy, 1, "urgent", answered + 2, answered, met, 1, 1, 30, 10, 0, 0);
		}

	}

}
