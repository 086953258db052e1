package org.acaciacourse.daemon.telemetry;

import java.util.Collections;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class DecisionLogTests {

	// Guards against a queue of log lines that holds the long ids and lists of callers,
	// some hundred kilobytes a line.
	@Test
	void whatCallersChooseIsCut() {
		List<String> names = Collections.nCopies(10_000, "n".repeat(10_000));
		Map<String, Object> line = DecisionLog.line(LogEvent.REFUSALS_MERGED, 210, 3, names);
		assertThat(line).containsAtLeast("event", "refusals-merged", "code", 210, "count", 3);
		List<?> logged = (List<?>) line.get(LogEvent.REFUSALS_MERGED.fields().get(2));
		assertThat(logged).hasSize(DecisionLog.MAX_ITEMS);
		logged.forEach((name) -> assertThat(name.toString().length()).isAtMost(DecisionLog.MAX_TEXT_CHARS + 1));
	}

	@Test
	void usualValuesAreLoggedAsTheyAre() {
		assertThat(DecisionLog.line(LogEvent.REFUSALS_MERGED, 210, 3, List.of("a", "b")))
			.isEqualTo(Map.of("event", "refusals-merged", "code", 210, "count", 3,
					LogEvent.REFUSALS_MERGED.fields().get(2), List.of("a", "b")));
	}

}
