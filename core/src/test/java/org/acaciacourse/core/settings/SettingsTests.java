package org.acaciacourse.core.settings;

import java.time.Duration;
import java.util.List;
import java.util.Set;

import org.acaciacourse.core.ini.Problem;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link Settings}.
 */
class SettingsTests {

	private static final String VALID = """
			[vm]
			name = entry-1
			data-centre = accra-a
			[inner]
			key = 0123456789abcdef
			[entry]
			listen = 127.0.0.1:0
			read-timeout = 5 s
			max-body = 2 MiB
			""";

	private static final Set<String> SECTIONS = Set.of("vm", "inner", "entry");

	@Nested
	class Valid {

		@Test
		void readsValuesAndDefaults() {
			Settings settings = Settings.parse(VALID, SECTIONS).get();
			assertThat(settings.duration(SettingKey.ENTRY_READ_TIMEOUT)).isEqualTo(Duration.ofSeconds(5));
			assertThat(settings.bytes(SettingKey.ENTRY_MAX_BODY)).isEqualTo(2 << 20);
			assertThat(settings.count(SettingKey.ENTRY_MAX_CONNECTIONS)).isEqualTo(4096);
		}

	}

	@Nested
	class Invalid {

		@Test
		void reportsUnknownInvalidAndMissingTogether() {
			String text = VALID.replace("5 s", "5").replace("name = entry-1", "nam = entry-1");
			List<Problem> problems = Settings.parse(text, SECTIONS).getLeft();
			assertThat(problems.stream().map(Problem::line)).containsExactly(2, 8, 1);
		}

		@Test
		void reportsAContradiction() {
			String text = VALID + "tls-key = key.pem\n";
			assertThat(Settings.parse(text, SECTIONS).getLeft()).hasSize(1);
		}

	}

}
