package org.acaciacourse.core.ini;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.acaciacourse.core.manifest.ManifestParser;
import org.acaciacourse.core.settings.Settings;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link IniText} and fuzzing of the parsers built on it.
 */
class IniTextTests {

	@Provide
	Arbitrary<String> almostIni() {
		Arbitrary<String> pieces = Arbitraries.of("[", "]", "=", "\n", "\r", "#", ";", " ", "\t", "\\", "\"", "\0", ":",
				"manifest", "number", "policy", "policy a", "class b", "tier", "high", "target", "first-token 2 s",
				"vm", "name", "9223372036854775808", "-1", "é", "\u2028", "entry", "listen", "127.0.0.1:99999");
		return pieces.list().ofMaxSize(60).map((list) -> String.join("", list));
	}

	@Property(tries = 5_000, seed = "4713")
	void anyTextYieldsAResultOrProblems(@ForAll("almostIni") String text) {
		assertThat(ManifestParser.document(text)).isNotNull();
		assertThat(Settings.parse(text, Settings.sectionsOf(text))).isNotNull();
	}

	@Nested
	class Bounds {

		@Test
		void aLineThatIsTooLongIsAProblem() {
			assertThat(new IniText("[a]\nk = " + "x".repeat(IniText.MAX_LINE)).problems()).hasSize(1);
		}

		@Test
		void tooManyLinesAreAProblem() {
			assertThat(new IniText("\n".repeat(IniText.MAX_LINES)).problems()).hasSize(1);
		}

	}

	@Nested
	class Values {

		@Test
		void keepColonsCommasAndHashSigns() {
			IniText text = new IniText("[a]\nk = http://127.0.0.1:80, #2\n");
			assertThat(text.sections().get("a").get("k")).isEqualTo("http://127.0.0.1:80, #2");
		}

	}

}
