package org.acaciacourse.core.consensus;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToLongFunction;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link MembershipManager}.
 */
class MembershipManagerTests {

	private static final Member A = member(1, "a", true);

	private static final Member B = member(2, "b", true);

	private static final Member C = member(3, "c", true);

	private static final Member LEARNER_B = member(4, "b", false);

	private final MembershipManager manager = new MembershipManager();

	private static Member member(long id, String vm, boolean voter) {
		return new Member(new ReplicaId(id), vm, vm, voter);
	}

	private Optional<Membership> next(Membership current, long commitIndex, ToLongFunction<ReplicaId> matchIndex) {
		return this.manager.nextMembership(current, true, commitIndex, matchIndex,
				(id) -> id.equals(A.id()) || id.equals(C.id()));
	}

	@Test
	void newLeaderContinuesAReplacement() {
		// The leader fails after each step. The next leader knows only the committed
		// membership and must neither leave the replacement unfinished nor promote a
		// learner too early.
		Membership current = new Membership(List.of(A, B, C));
		this.manager.addJoinRequest(LEARNER_B);
		current = next(current, 10, (id) -> 0).orElseThrow();
		assertThat(current.members()).containsExactly(A, B, C, LEARNER_B);
		this.manager.leadershipLost();
		assertThat(next(current, 20, (id) -> 19)).isEqualTo(Optional.empty());
		this.manager.leadershipLost();
		current = next(current, 30, (id) -> 30).orElseThrow();
		assertThat(current.members()).containsExactly(A, C, LEARNER_B);
		this.manager.leadershipLost();
		current = next(current, 40, (id) -> 40).orElseThrow();
		assertThat(current.voters()).containsExactly(A.id(), C.id(), LEARNER_B.id());
		assertThat(next(current, 50, (id) -> 50)).isEqualTo(Optional.empty());
	}

	@Test
	void catchUpTargetStaysFixed() {
		Membership current = new Membership(List.of(A, C, LEARNER_B));
		assertThat(next(current, 10, (id) -> 5)).isEqualTo(Optional.empty());
		assertThat(next(current, 99, (id) -> 10)).isNotEqualTo(Optional.empty());
	}

	@Test
	void voterInContactIsNotReplaced() {
		// A second process starts with the name of a running VM. It must not displace the
		// replica that has the log.
		Membership current = new Membership(List.of(A, B, C, member(5, "a", false)));
		assertThat(next(current, 10, (id) -> 10)).isEqualTo(Optional.empty());
	}

	@Test
	void learnerThatLostItsDiskAgainIsRemoved() {
		Membership current = new Membership(List.of(A, B, C, LEARNER_B));
		this.manager.addJoinRequest(member(6, "b", false));
		assertThat(next(current, 10, (id) -> 0)).isEqualTo(Optional.of(new Membership(List.of(A, B, C))));
	}

	@Test
	void twoProcessesOfOneVmDoNotReplaceEachOther() {
		// Both processes keep asking to join. If each replaced the other, the log would
		// fill with membership changes and neither would ever catch up.
		Membership current = new Membership(List.of(A, C, LEARNER_B));
		this.manager.addJoinRequest(member(6, "b", false));
		assertThat(this.manager.nextMembership(current, true, 10, (id) -> 0, (id) -> true)).isEqualTo(Optional.empty());
	}

	// Guards against a dead voter that is never removed. A VM is replaced permanently by
	// one with another name. If its voter stayed, one of five voters would be dead and
	// two more failures would stop the log. The new replica replaces it once it has
	// caught up, but not while the voter may only be restarting.
	@Test
	void longAbsentVoterIsReplacedByANewVm() {
		Member d = member(7, "d", true);
		Member e = member(8, "e", true);
		Member f = member(9, "f", false);
		Membership full = new Membership(List.of(A, B, C, d, e, f));
		this.manager.observe(full, (id) -> !id.equals(B.id()), 0);
		assertThat(nextWithoutB(full)).isEqualTo(Optional.empty());
		this.manager.observe(full, (id) -> !id.equals(B.id()), MembershipManager.MAX_ABSENCE_NANOS - 1);
		assertThat(nextWithoutB(full)).isEqualTo(Optional.empty());
		this.manager.observe(full, (id) -> !id.equals(B.id()), MembershipManager.MAX_ABSENCE_NANOS);
		Membership without = nextWithoutB(full).orElseThrow();
		assertThat(without.members()).containsExactly(A, C, d, e, f);
		Membership replaced = nextWithoutB(without).orElseThrow();
		assertThat(replaced.isVoter(f.id())).isTrue();
		assertThat(replaced.voters()).hasSize(5);
	}

	/*
	 * Guards against a removal that cannot be reproduced. A new leader finds two voters
	 * absent that it has never been in contact with. Which of them it removes must follow
	 * from the membership alone, otherwise a sequence of failures that once lost the log
	 * cannot be replayed.
	 */
	@Test
	void equallyAbsentVotersAreRemovedInTheOrderOfTheirIdentities() {
		for (long first = 100; first < 300; first += 10) {
			List<Member> members = List.of(member(first, "a", true), member(first + 1, "b", true),
					member(first + 2, "c", true), member(first + 3, "d", true), member(first + 4, "e", true),
					member(first + 5, "f", false));
			Membership full = new Membership(members);
			Set<ReplicaId> absent = Set.of(new ReplicaId(first + 1), new ReplicaId(first + 3));
			MembershipManager leader = new MembershipManager();
			leader.observe(full, (id) -> !absent.contains(id), 0);
			leader.observe(full, (id) -> !absent.contains(id), MembershipManager.MAX_ABSENCE_NANOS);
			Optional<Membership> next = leader.nextMembership(full, true, 10, (id) -> 10, (id) -> !absent.contains(id));
			assertThat(next).isEqualTo(Optional.of(full.without(new ReplicaId(first + 1))));
		}
	}

	// Guards against removing a recently partitioned voter while another voter has been
	// absent for longer.
	@Test
	void longestAbsentVoterIsRemovedFirst() {
		Member d = member(7, "d", true);
		Member e = member(8, "e", true);
		Membership full = new Membership(List.of(A, B, C, d, e, member(9, "f", false)));
		for (Member first : List.of(B, d, e)) {
			for (Member second : List.of(B, d, e)) {
				this.manager.leadershipLost();
				this.manager.observe(full, (id) -> !id.equals(first.id()), 0);
				this.manager.observe(full, (id) -> !id.equals(first.id()) && !id.equals(second.id()), 1);
				this.manager.observe(full, (id) -> !id.equals(first.id()) && !id.equals(second.id()),
						2 * MembershipManager.MAX_ABSENCE_NANOS);
				Membership without = this.manager
					.nextMembership(full, true, 10, (id) -> 10,
							(id) -> !id.equals(first.id()) && !id.equals(second.id()))
					.orElseThrow();
				assertThat(without).isEqualTo(full.without(first.id()));
			}
		}
	}

	@Test
	void voterBackInContactIsNotRemoved() {
		Membership full = new Membership(
				List.of(A, B, C, member(7, "d", true), member(8, "e", true), member(9, "f", false)));
		this.manager.observe(full, (id) -> !id.equals(B.id()), 0);
		this.manager.observe(full, (id) -> true, MembershipManager.MAX_ABSENCE_NANOS - 1);
		this.manager.observe(full, (id) -> !id.equals(B.id()), MembershipManager.MAX_ABSENCE_NANOS + 1);
		assertThat(nextWithoutB(full)).isEqualTo(Optional.empty());
	}

	// Guards against reporting a joining replica as ready too early. An operator who
	// replaces the control VMs one by one stops the next VM once the replica is ready. If
	// it were still a learner, two of three voters would be down and the log would stop
	// until one of them returned.
	@Test
	void joiningReplicaHasItsFinalRoleOnlyAsAVoter() {
		assertThat(MembershipManager.hasFinalRole(new Membership(List.of(A, B, C)), LEARNER_B.id())).isFalse();
		assertThat(MembershipManager.hasFinalRole(new Membership(List.of(A, B, C, LEARNER_B)), LEARNER_B.id()))
			.isFalse();
		Membership removed = new Membership(List.of(A, C, LEARNER_B));
		assertThat(MembershipManager.hasFinalRole(removed, LEARNER_B.id())).isFalse();
		Membership promoted = removed.with(member(4, "b", true));
		assertThat(MembershipManager.hasFinalRole(promoted, LEARNER_B.id())).isTrue();
	}

	@Test
	void spareLearnerHasItsFinalRole() {
		Member spare = member(9, "f", false);
		Membership full = new Membership(List.of(A, B, C, member(7, "d", true), member(8, "e", true), spare));
		assertThat(MembershipManager.hasFinalRole(full, spare.id())).isTrue();
		Membership replaced = full.with(LEARNER_B);
		assertThat(MembershipManager.hasFinalRole(replaced, LEARNER_B.id())).isFalse();
	}

	private Optional<Membership> nextWithoutB(Membership current) {
		return this.manager.nextMembership(current, true, 10, (id) -> 10, (id) -> !id.equals(B.id()));
	}

}
