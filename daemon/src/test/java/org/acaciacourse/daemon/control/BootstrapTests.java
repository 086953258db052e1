package org.acaciacourse.daemon.control;

import java.util.List;

import org.acaciacourse.core.consensus.Member;
import org.acaciacourse.core.consensus.ReplicaId;
import org.acaciacourse.daemon.codec.ReplicaCodec;
import org.acaciacourse.daemon.control.Bootstrap.Step;
import org.acaciacourse.protocol.generated.PeerDescription;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class BootstrapTests {

	private static final List<String> INITIAL = List.of("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3");

	private static final Member SELF = member(1);

	private static Member member(int i) {
		return new Member(new ReplicaId(i), "control-" + i, "127.0.0.1:" + i, false);
	}

	private static PeerDescription description(int i, boolean hasLog) {
		return new PeerDescription(ReplicaCodec.encode(member(i)), hasLog);
	}

	private static Bootstrap.Decision decide(Member self, List<String> initialMembers,
			List<PeerDescription> descriptions) {
		return Bootstrap.decide(self, initialMembers, descriptions, true);
	}

	@Nested
	class AnEmptyReplica {

		// The VM restarts after the loss of its disk; its settings still list the initial
		// members, and those that respond are empty too. A second bootstrap would lose
		// the configuration.
		@Test
		void doesNotBootstrapAtALaterStart() {
			List<PeerDescription> others = List.of(description(3, false), description(2, false));
			assertThat(Bootstrap.decide(SELF, INITIAL, others, false).step()).isEqualTo(Step.ASK_AGAIN);
			assertThat(Bootstrap.decide(SELF, INITIAL, List.of(description(2, true)), false).step())
				.isEqualTo(Step.JOIN);
		}

		@Test
		void bootstrapsWhenAllInitialMembersAreEmpty() {
			Bootstrap.Decision decision = decide(SELF, INITIAL, List.of(description(3, false), description(2, false)));
			assertThat(decision.step()).isEqualTo(Step.FOUND);
			assertThat(decision.membership().orElseThrow().voters()).containsExactly(new ReplicaId(1), new ReplicaId(2),
					new ReplicaId(3));
		}

		@Test
		void doesNotBootstrapIfALogExistsOrAnInitialMemberDoesNotRespond() {
			// The replica may have lost its disk. One response of a replica with a log
			// proves that a log exists, and an initial member that does not respond may
			// hold one.
			assertThat(decide(SELF, INITIAL, List.of(description(2, true))).step()).isEqualTo(Step.JOIN);
			assertThat(decide(SELF, INITIAL, List.of(description(2, false), description(3, true))).step())
				.isEqualTo(Step.JOIN);
			assertThat(decide(SELF, INITIAL, List.of(description(2, false))).step()).isEqualTo(Step.ASK_AGAIN);
			assertThat(decide(SELF, INITIAL, List.of()).step()).isEqualTo(Step.ASK_AGAIN);
		}

		@Test
		void doesNotBootstrapIfNotAnInitialMemberOrAResponderIsNotTheOneAsked() {
			List<PeerDescription> others = List.of(description(2, false), description(3, false));
			assertThat(decide(member(4), INITIAL, others).step()).isEqualTo(Step.ASK_AGAIN);
			assertThat(decide(SELF, INITIAL, List.of(description(2, false), description(2, false))).step())
				.isEqualTo(Step.ASK_AGAIN);
		}

	}

}
