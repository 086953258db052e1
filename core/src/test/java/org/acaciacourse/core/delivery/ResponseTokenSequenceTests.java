package org.acaciacourse.core.delivery;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.acaciacourse.core.delivery.ResponseTokenSequence.Verdict;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link ResponseTokenSequence}.
 */
class ResponseTokenSequenceTests {

	// The stream breaks several times, and each following attempt starts at or before the
	// first missing token. The client must receive 0, 1, 2, ... without gaps or repeats.
	@Property(tries = 2_000, seed = "4712")
	void forwardsEachTokenOnceAndInOrder(
			@ForAll @Size(max = 6) List<@IntRange(min = 0, max = 30) Integer> attemptLengths) {
		ResponseTokenSequence sequence = new ResponseTokenSequence();
		List<Long> seen = new ArrayList<>();
		for (int attempt = 0; attempt < attemptLengths.size(); attempt++) {
			sequence.switchToAttempt(attempt);
			long start = sequence.forwardedTokens() / 2;
			for (long index = start; index < start + attemptLengths.get(attempt); index++) {
				if (sequence.token(attempt, index) == Verdict.FORWARD) {
					seen.add(index);
				}
			}
		}
		assertThat(seen).isEqualTo(LongStream.range(0, sequence.forwardedTokens()).boxed().toList());
	}

	@Nested
	class UnexpectedTokens {

		// Tokens of a hedged request that lost or of an abandoned attempt still arrive.
		// Forwarding them would mix the text of another attempt into the response.
		@Test
		void tokensOfAnAbandonedAttemptAreDiscarded() {
			ResponseTokenSequence sequence = new ResponseTokenSequence();
			sequence.switchToAttempt(1);
			sequence.token(1, 0);
			sequence.switchToAttempt(2);
			assertThat(sequence.token(1, 1)).isEqualTo(Verdict.DISCARD);
			assertThat(sequence.end(1)).isFalse();
			assertThat(sequence.token(2, 1)).isEqualTo(Verdict.FORWARD);
		}

		@Test
		void tokensAfterAGapAreNotForwarded() {
			ResponseTokenSequence sequence = new ResponseTokenSequence();
			sequence.switchToAttempt(1);
			assertThat(sequence.token(1, 1)).isEqualTo(Verdict.GAP);
		}

	}

}
