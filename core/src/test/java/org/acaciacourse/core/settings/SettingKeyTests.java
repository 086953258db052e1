package org.acaciacourse.core.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Checks that the table of settings in the operators' page matches the code.
 */
class SettingKeyTests {

	private static final Path PAGE = Path.of("..", "docs", "OPERATORS.md");

	private static String row(SettingKey key) {
		String text = key.defaultText()
			.map((value) -> (value.isEmpty()) ? "empty" : "`" + value + "`")
			.orElse("required");
		return "| `%s.%s` | %s | %s | %s |".formatted(key.section(), key.key(), key.type().format(), text,
				key.description());
	}

	@Test
	void pageListsEverySettingAsTheEnumHasIt() throws IOException {
		List<String> rows = Files.readAllLines(PAGE)
			.stream()
			.filter((line) -> line.matches("\\| `[a-z-]+\\.[a-z0-9-]+` \\|.*"))
			.toList();
		assertThat(rows)
			.containsExactlyElementsIn(Arrays.stream(SettingKey.values()).map(SettingKeyTests::row).toList());
	}

}
