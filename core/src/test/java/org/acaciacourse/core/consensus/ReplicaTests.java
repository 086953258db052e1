package org.acaciacourse.core.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.acaciacourse.core.consensus.ReplicaMessage.AppendReply;
import org.acaciacourse.core.consensus.ReplicaMessage.AppendRequest;
import org.acaciacourse.core.consensus.ReplicaMessage.SnapshotRequest;
import org.acaciacourse.core.consensus.ReplicaMessage.VoteReply;
import org.acaciacourse.core.consensus.ReplicaMessage.VoteRequest;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link Replica}: rules that random runs exercise too rarely.
 */
class ReplicaTests {

	private static final ReplicaTiming TIMING = new ReplicaTiming(10, 100, 1_000, 10_000);

	private static final Member A = new Member(new ReplicaId(1), "a", "a", true);

	private static final Member B = new Member(new ReplicaId(2), "b", "b", true);

	private static final Member C = new Member(new ReplicaId(3), "c", "c", true);

	private final RecordingActions recorder = new RecordingActions();

	// Entry 1 is the membership of all three replicas. It is followed by commands, all of
	// term 1.
	private Replica replica(int entries) {
		List<LogEntry> log = new ArrayList<>();
		log.add(new LogEntry(1, 1, LogEntry.Kind.MEMBERSHIP, MembershipCodec.encode(new Membership(List.of(A, B, C)))));
		for (int i = 2; i <= entries; i++) {
			log.add(command(i, 1));
		}
		return start(new RecoveredLog(new HardState(1, Optional.empty()), Optional.empty(), log));
	}

	private Replica start(RecoveredLog recovered) {
		return new Replica(A.id(), "a", recovered, TIMING, 1, this.recorder, 0);
	}

	// Starts the replica of a member whose log contains the membership of all three.
	private Replica start(Member member) {
		LogEntry members = new LogEntry(1, 1, LogEntry.Kind.MEMBERSHIP,
				MembershipCodec.encode(new Membership(List.of(A, B, C))));
		RecoveredLog recovered = new RecoveredLog(new HardState(1, Optional.empty()), Optional.empty(),
				List.of(members));
		return new Replica(member.id(), member.vm(), recovered, TIMING, 1, this.recorder, 0);
	}

	private static LogEntry command(long index, long term) {
		return new LogEntry(index, term, LogEntry.Kind.COMMAND, new byte[] { (byte) index });
	}

	private Replica leader(int entries) {
		Replica replica = replica(entries);
		replica.tick(200);
		replica.receive(new VoteReply(B.id(), 2, true, true), 201);
		replica.receive(new VoteReply(B.id(), 2, false, true), 202);
		assertThat(replica.isLeader()).isTrue();
		return replica;
	}

	@Nested
	class Commit {

		@Test
		void entryOfAnEarlierTermIsNotCommittedByCount() {
			// Guards against committing an entry of an earlier term by counting replicas.
			// Two of three replicas have entry 2 of an earlier term. If that committed
			// it, a replica with a later entry at that index could still be elected and
			// overwrite it (figure 8 of the Raft paper).
			Replica replica = leader(2);
			replica.receive(new AppendReply(B.id(), 2, true, 2, 1), 203);
			replica.entriesPersisted(3, 2, 204);
			assertThat(replica.status().commitIndex()).isEqualTo(0);
			replica.receive(new AppendReply(B.id(), 2, true, 3, 1), 205);
			assertThat(replica.status().commitIndex()).isEqualTo(3);
		}

		@Test
		void leaderCountsItselfOnlyOnceTheEntryIsDurable() {
			// Guards against the loss of an acknowledged manifest. The only replica of a
			// new system must not commit an entry before it is synced, as a power failure
			// would lose it.
			Replica replica = start(RecoveredLog.bootstrap(A));
			replica.tick(200);
			replica.entriesPersisted(2, 2, 201);
			long index = replica.propose(1, new byte[1], 202);
			replica.entriesPersisted(index - 1, 2, 203);
			assertThat(replica.status().commitIndex()).isEqualTo(index - 1);
			replica.entriesPersisted(index, 2, 204);
			assertThat(replica.status().commitIndex()).isEqualTo(index);
		}

	}

	// Guards against a split vote after a power failure of all VMs. They start at the
	// same time, and two candidates within the time of a vote split the vote, so that
	// clients wait for a second round.
	@Nested
	class SimultaneousStart {

		@Test
		void firstTimersFollowTheOrderOfIdentities() {
			List<Replica> replicas = List.of(start(A), start(B), start(C));
			for (int now = 5; now < 30; now += 8) {
				for (Replica replica : replicas) {
					replica.tick(now);
				}
				int stood = Math.min(replicas.size(), now / 8);
				List<ReplicaStatus.Role> roles = replicas.stream().map((r) -> r.status().role()).toList();
				assertThat(roles.stream().filter((role) -> role == ReplicaStatus.Role.PRE_CANDIDATE).count())
					.isEqualTo(stood);
				assertThat(roles.subList(stood, roles.size())).doesNotContain(ReplicaStatus.Role.PRE_CANDIDATE);
			}
		}

	}

	@Nested
	class Follower {

		@Test
		void lateSnapshotDoesNotDropAcknowledgedEntries() {
			// The follower acknowledged entry 3, so the leader counts it. A snapshot that
			// was sent earlier arrives now. If the follower discarded entry 3, a
			// committed entry would no longer be stored on a quorum.
			Replica replica = replica(3);
			Snapshot late = new Snapshot(2, 1, new Membership(List.of(A, B, C)), new byte[0]);
			replica.receive(new SnapshotRequest(B.id(), 1, late, 1), 1);
			assertThat(ReplicaTests.this.recorder.installed).isEmpty();
			replica.receive(new AppendRequest(B.id(), 1, 3, 1, List.of(), 3, 2), 2);
			assertThat(replica.status().commitIndex()).isEqualTo(3);
		}

		@Test
		void lateAppendDoesNotDropLaterEntries() {
			Replica replica = replica(3);
			replica.receive(new AppendRequest(B.id(), 1, 1, 1, List.of(command(2, 1)), 1, 1), 1);
			assertThat(ReplicaTests.this.recorder.appended).isEmpty();
			replica.receive(new AppendRequest(B.id(), 1, 3, 1, List.of(), 3, 2), 2);
			assertThat(replica.status().commitIndex()).isEqualTo(3);
		}

		@Test
		void candidateIsRefusedWhileTheLeaderIsInContact() {
			// A replica that cannot reach the leader starts an election. Replicas in
			// contact with the leader must neither grant the vote nor adopt the higher
			// term.
			Replica replica = replica(1);
			replica.receive(new AppendRequest(B.id(), 1, 1, 1, List.of(), 1, 1), 1);
			replica.receive(new VoteRequest(C.id(), 9, 9, 9, false, false), 50);
			assertThat(replica.status().term()).isEqualTo(1);
			replica.receive(new VoteRequest(C.id(), 9, 9, 9, false, false), 150);
			assertThat(replica.status().term()).isEqualTo(9);
		}

	}

	@Nested
	class Read {

		@Test
		void waitsForAQuorumThatAnswersAfterIt() {
			// A leader that was frozen does not know that another leader commits entries.
			// A reply to a round that started before the read must not confirm the read.
			Replica replica = leader(1);
			replica.entriesPersisted(2, 2, 203);
			replica.receive(new AppendReply(B.id(), 2, true, 2, 1), 204);
			replica.read(7, 205);
			replica.receive(new AppendReply(C.id(), 2, true, 2, 1), 206);
			assertThat(ReplicaTests.this.recorder.readable).isEmpty();
			replica.receive(new AppendReply(B.id(), 2, true, 2, 2), 207);
			assertThat(ReplicaTests.this.recorder.readable).containsExactly(7L);
		}

	}

	/** Records the requested actions. */
	private static final class RecordingActions implements ReplicaActions {

		private final List<Snapshot> installed = new ArrayList<>();

		private final List<LogEntry> appended = new ArrayList<>();

		private final List<Long> readable = new ArrayList<>();

		@Override
		public void persist(HardState state) {
		}

		@Override
		public void append(List<LogEntry> entries) {
			this.appended.addAll(entries);
		}

		@Override
		public void install(Snapshot snapshot) {
			this.installed.add(snapshot);
		}

		@Override
		public void send(Member to, ReplicaMessage message) {
		}

		@Override
		public void apply(LogEntry entry) {
		}

		@Override
		public void readReady(long readId, long index) {
			this.readable.add(readId);
		}

		@Override
		public void operationFailed(long id) {
		}

		@Override
		public void statusChanged(ReplicaStatus status) {
		}

	}

}
