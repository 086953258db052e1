package org.acaciacourse.core.code;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link ResultCode}.
 */
class ResultCodeTests {

	private static final Path TABLE = Path.of("..", "docs", "RESULT-CODES.md");

	@Test
	void numbersAreUnique() {
		Set<Integer> numbers = Arrays.stream(ResultCode.values()).map(ResultCode::number).collect(Collectors.toSet());
		assertThat(numbers).hasSize(ResultCode.values().length);
	}

	@Nested
	class Table {

		@Test
		void listsEveryCodeAsTheEnumHasIt() throws IOException {
			List<String> rows = Files.readAllLines(TABLE).stream().filter((line) -> line.matches("\\| \\d.*")).toList();
			List<String> starts = Arrays.stream(ResultCode.values()).map(this::rowStart).toList();
			assertThat(rows.stream().map((row) -> row.substring(0, row.lastIndexOf(" | "))).toList())
				.containsExactlyElementsIn(starts);
		}

		private String rowStart(ResultCode code) {
			return "| %d | `%s` | %d | %d | %s".formatted(code.number(), code, code.httpStatus(), code.exitStatus(),
					(code.isRetryable()) ? "yes" : "no");
		}

	}

}
