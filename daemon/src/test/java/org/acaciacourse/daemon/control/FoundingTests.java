package org.acaciacourse.daemon.control;

import java.util.List;

import org.acaciacourse.core.consensus.Member;
import org.acaciacourse.core.consensus.ReplicaId;
import org.acaciacourse.daemon.codec.ReplicaCodec;
import org.acaciacourse.daemon.control.Founding.Step;
import org.acaciacourse.protocol.generated.PeerDescription;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class FoundingTests {

	private static final List<String> FOUNDERS = List.of("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3");

	private static final Member SELF = member(1);

	private static Member member(int i) {
		return new Member(new ReplicaId(i), "control-" + i, "127.0.0.1:" + i, false);
	}

	private static PeerDescription answer(int i, boolean founded) {
		return new PeerDescription(ReplicaCodec.encode(member(i)), founded);
	}

	private static Founding.Decision decide(Member self, List<String> founders, List<PeerDescription> answers) {
		return Founding.decide(self, founders, answers, true);
	}

	@Nested
	class AnEmptyReplica {

		// The VM lost its disk and starts again with an empty folder; the settings still
		// name
		// the founders, and those that answer are as empty as it is. A second founding
		// would
		// bring the configuration back to nothing.
		@Test
		void foundsNothingAtALaterStart() {
			List<PeerDescription> others = List.of(answer(3, false), answer(2, false));
			assertThat(Founding.decide(SELF, FOUNDERS, others, false).step()).isEqualTo(Step.ASK_AGAIN);
			assertThat(Founding.decide(SELF, FOUNDERS, List.of(answer(2, true)), false).step()).isEqualTo(Step.JOIN);
		}

		@Test
		void foundsWhenAllOthersAreEmptyToo() {
			Founding.Decision decision = decide(SELF, FOUNDERS, List.of(answer(3, false), answer(2, false)));
			assertThat(decision.step()).isEqualTo(Step.FOUND);
			assertThat(decision.membership().orElseThrow().voters()).containsExactly(new ReplicaId(1), new ReplicaId(2),
					new ReplicaId(3));
		}

		@Test
		void neverFoundsBesideALogOrASilentFounder() {
			// It may have lost its disk. One answer of a founded replica is enough to
			// know that a log exists; a silent founder may hold one.
			assertThat(decide(SELF, FOUNDERS, List.of(answer(2, true))).step()).isEqualTo(Step.JOIN);
			assertThat(decide(SELF, FOUNDERS, List.of(answer(2, false), answer(3, true))).step()).isEqualTo(Step.JOIN);
			assertThat(decide(SELF, FOUNDERS, List.of(answer(2, false))).step()).isEqualTo(Step.ASK_AGAIN);
			assertThat(decide(SELF, FOUNDERS, List.of()).step()).isEqualTo(Step.ASK_AGAIN);
		}

		@Test
		void neverFoundsIfItIsNoFounderOrAnAnswerIsNotOfTheOneAsked() {
			List<PeerDescription> others = List.of(answer(2, false), answer(3, false));
			assertThat(decide(member(4), FOUNDERS, others).step()).isEqualTo(Step.ASK_AGAIN);
			assertThat(decide(SELF, FOUNDERS, List.of(answer(2, false), answer(2, false))).step())
				.isEqualTo(Step.ASK_AGAIN);
		}

	}

}
