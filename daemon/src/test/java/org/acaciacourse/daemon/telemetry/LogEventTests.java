package org.acaciacourse.daemon.telemetry;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class LogEventTests {

	private static final Path TABLE = Path.of("..", "docs", "OPERATIONS.md");

	@Test
	void tableListsEveryEventWithItsFields() throws IOException {
		List<String> rows = Files.readAllLines(TABLE)
			.stream()
			.filter((line) -> line.matches("\\| `[a-z-]+` \\| .*"))
			.map((row) -> row.substring(0, row.lastIndexOf(" | ")))
			.toList();
		List<String> expected = Arrays.stream(LogEvent.values())
			.map((event) -> "| `" + event.label() + "` | " + String.join(", ", event.fields()))
			.toList();
		assertThat(rows).containsExactlyElementsIn(expected).inOrder();
	}

}
