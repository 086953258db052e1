package org.acaciacourse.core.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;

import com.google.common.collect.Range;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link EndpointSubset}.
 */
class EndpointSubsetTests {

	private static final int ENTRIES_PER_ENDPOINT = 9;

	private static List<String> names(String prefix, int count) {
		return IntStream.range(0, count).mapToObj((i) -> prefix + i).toList();
	}

	@Nested
	class FewEntries {

		@Test
		void useAllEndpoints() {
			Set<String> chosen = EndpointSubset.choose("entry-0", names("entry-", ENTRIES_PER_ENDPOINT), names("e", 13),
					ENTRIES_PER_ENDPOINT);
			assertThat(chosen).hasSize(13);
		}

	}

	@Nested
	class DesignSize {

		private final List<String> entries = names("entry-", 380);

		private final List<String> endpoints = names("runner-", 12_000);

		@Test
		void eachEndpointHasExactlyTheGivenNumberOfEntries() {
			Map<String, Integer> counts = new HashMap<>();
			for (String entry : this.entries) {
				EndpointSubset.choose(entry, this.entries, this.endpoints, ENTRIES_PER_ENDPOINT)
					.forEach((endpoint) -> counts.merge(endpoint, 1, Integer::sum));
			}
			assertThat(counts).hasSize(this.endpoints.size());
			assertThat(Set.copyOf(counts.values())).containsExactly(ENTRIES_PER_ENDPOINT);
		}

		@Test
		void eachEntryHasNearlyTheSameNumberOfEndpoints() {
			int mean = this.endpoints.size() * ENTRIES_PER_ENDPOINT / this.entries.size();
			for (String entry : this.entries) {
				int size = EndpointSubset.choose(entry, this.entries, this.endpoints, ENTRIES_PER_ENDPOINT).size();
				assertThat(size).isIn(Range.closed(mean * 7 / 10, mean * 13 / 10));
			}
		}

		// Guards against a failed entry VM changing the subsets of all others: each would
		// open connections to endpoints that it has no state for, all at the same time.
		@Test
		void losingAnEntryReassignsOnlyItsEndpoints() {
			Set<String> before = EndpointSubset.choose("entry-1", this.entries, this.endpoints, ENTRIES_PER_ENDPOINT);
			List<String> left = this.entries.subList(1, this.entries.size());
			Set<String> after = EndpointSubset.choose("entry-1", left, this.endpoints, ENTRIES_PER_ENDPOINT);
			Set<String> lost = new HashSet<>(before);
			lost.removeAll(after);
			assertThat(lost).isEmpty();
			assertThat(after.size() - before.size()).isAtMost(10);
		}

	}

}
