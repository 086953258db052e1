package org.acaciacourse.core.manifest;

import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link ManifestDocument}.
 */
class ManifestDocumentTests {

	private static ManifestDocument document(Map<String, Map<String, String>> sections) {
		SortedMap<String, SortedMap<String, String>> sorted = new TreeMap<>();
		sections.forEach((name, keys) -> sorted.put(name, new TreeMap<>(keys)));
		return new ManifestDocument(sorted);
	}

	@Nested
	class Delta {

		@Test
		void turnsOneDocumentIntoTheOther() {
			ManifestDocument first = document(Map.of("a", Map.of("k", "1"), "b", Map.of("k", "1")));
			ManifestDocument second = document(Map.of("b", Map.of("k", "2"), "c", Map.of()));
			ManifestDelta delta = first.deltaTo(second);
			assertThat(delta.changed().keySet()).containsExactly("b", "c");
			assertThat(delta.removed()).containsExactly("a");
			assertThat(first.with(delta)).isEqualTo(second);
		}

	}

	@Nested
	class Digest {

		@Test
		void dependsOnWhereAValueEnds() {
			ManifestDocument first = document(Map.of("a", Map.of("k", "1v2")));
			ManifestDocument second = document(Map.of("a", Map.of("k1v", "2")));
			assertThat(first.digest()).isNotEqualTo(second.digest());
		}

	}

}
