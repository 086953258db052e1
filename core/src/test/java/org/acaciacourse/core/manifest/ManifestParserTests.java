package org.acaciacourse.core.manifest;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.acaciacourse.core.ini.Problem;
import org.acaciacourse.core.model.Manifest;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link ManifestParser}.
 */
class ManifestParserTests {

	private static final String VALID = """
			[manifest]
			number = 7
			policy = best
			[policy best]
			kind = tiered
			lowest-share = 0.05
			[class broker]
			tier = high
			target = first-token 2 s
			deadline = 60 s
			endpoint-sets = llm
			[endpoint-set llm]
			kind = model
			models = m1, m2
			[endpoint llm-1]
			set = llm
			address = http://127.0.0.1:9001
			data-centre = zone-a
			[customer c1]
			key-sha256 = %s
			classes = broker
			""".formatted("a".repeat(64));

	private static List<Problem> problems(String text) {
		return ManifestParser.document(text).getLeft();
	}

	@Nested
	class Valid {

		@Test
		void yieldsTheTypedManifest() {
			Manifest manifest = ManifestParser.document(VALID).flatMap(ManifestParser::manifest).get();
			assertThat(manifest.number()).isEqualTo(7);
			assertThat(manifest.endpointSets().get("llm").models()).containsExactly("m1", "m2");
			assertThat(manifest.policies().get("best").parameter("lowest-share", 0)).isEqualTo(0.05);
		}

	}

	@Nested
	class Incremental {

		private final ManifestDocument before = ManifestParser.document(VALID).get();

		private final Manifest manifest = ManifestParser.manifest(this.before).get();

		private ManifestDocument with(String section, Map<String, String> keys) {
			return this.before.with(new ManifestDelta(new TreeMap<>(Map.of(section, new TreeMap<>(keys))), Set.of()));
		}

		@Test
		void equalsFullParse() {
			ManifestDocument next = with("endpoint llm-2",
					Map.of("set", "llm", "address", "http://127.0.0.1:9002", "data-centre", "zone-b"));
			assertThat(ManifestParser.manifest(next, this.manifest, this.before))
				.isEqualTo(ManifestParser.manifest(next));
		}

		// A class is removed while an unchanged customer still refers to it. If the
		// customer were reused without validation, requests of a class that does not
		// exist would be admitted.
		@Test
		void reportsAReferenceToARemovedSection() {
			ManifestDocument next = this.before.with(new ManifestDelta(new TreeMap<>(), Set.of("class broker")));
			assertThat(ManifestParser.manifest(next, this.manifest, this.before).getLeft()).hasSize(1);
		}

	}

	@Nested
	class Invalid {

		@Test
		void reportsAllProblemsTogetherWithTheirLines() {
			String text = VALID.replace("tier = high", "tier = highest").replace("set = llm\n", "set = other\n");
			assertThat(problems(text).stream().map(Problem::line)).containsExactly(8, 16);
		}

		@Test
		void reportsAnUnknownKeyAndAnUnknownSection() {
			String text = VALID + "colour = red\n[zone x]\n";
			assertThat(problems(text).stream().map(Problem::line)).containsExactly(22, 23);
		}

		@Test
		void reportsAPolicyParameterThatIsUnknownOrOutOfRange() {
			String text = VALID.replace("lowest-share = 0.05", "lowest-share = 2\nlowest-shore = 0.05");
			assertThat(problems(text).stream().map(Problem::line)).containsExactly(6, 7);
		}

		@Test
		void reportsAKeyThatTwoCustomersShare() {
			String text = VALID + "[customer c2]\nkey-sha256 = " + "a".repeat(64) + "\nclasses = broker\n";
			assertThat(problems(text)).hasSize(1);
		}

		@Test
		void reportsALineThatIsNotIni() {
			assertThat(problems(VALID + "what is this\n").get(0).line()).isEqualTo(22);
		}

	}

}
