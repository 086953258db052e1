package org.acaciacourse.daemon.control;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

import io.vavr.control.Try;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.protocol.generated.ApplyReply;
import org.acaciacourse.protocol.generated.MemberRecord;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;

class ControlClusterTests {

	@TempDir
	private Path folder;

	private static void assertOk(ApplyReply reply) {
		assertThat(reply.getResult().getCode()).isEqualTo(ResultCode.OK.number());
	}

	private static void delete(Path folder) throws Exception {
		try (Stream<Path> files = Files.walk(folder)) {
			for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
				Files.delete(file);
			}
		}
	}

	@Nested
	class OneReplica {

		@Test
		void recoversLatestManifestAfterARestart() throws Exception {
			try (ControlCluster cluster = new ControlCluster(ControlClusterTests.this.folder, 1)) {
				cluster.startAll();
				assertOk(cluster.apply(ControlCluster.manifest(1, "urgent")));
				assertOk(cluster.apply(ControlCluster.manifest(2, "standard")));
				cluster.kill(0);
				cluster.start(0);
				cluster.awaitReady();
				assertThat(cluster.status(0).getNumber()).isEqualTo(2);
				assertThat(cluster.status(0).getAudit()).hasSize(2);
			}
		}

	}

	@Nested
	class ThreeReplicas {

		private ControlCluster cluster() throws Exception {
			return new ControlCluster(ControlClusterTests.this.folder, 3);
		}

		@Test
		void resentManifestGetsTheFirstReplyAndConflictsAreRefused() throws Exception {
			// The reply to an operator is lost and the pipeline resends the manifest: it
			// must get the first reply again. Another manifest with the same number and
			// one with a lower number are refused, with the current manifest in the
			// reply.
			try (ControlCluster cluster = cluster().startAll()) {
				ApplyReply first = cluster.apply(ControlCluster.manifest(7, "urgent"));
				assertOk(first);
				assertThat(cluster.apply(ControlCluster.manifest(7, "urgent"))).isEqualTo(first);
				ApplyReply other = cluster.apply(ControlCluster.manifest(7, "standard"));
				assertThat(other.getResult().getCode()).isEqualTo(ResultCode.MANIFEST_CONFLICT.number());
				assertThat(other.getDigest()).isEqualTo(first.getDigest());
				ApplyReply lower = cluster.apply(ControlCluster.manifest(6, "standard"));
				assertThat(lower.getResult().getCode()).isEqualTo(ResultCode.MANIFEST_OUTDATED.number());
				assertThat(lower.getNumber()).isEqualTo(7);
			}
		}

		@Test
		void oneOfFourOperatorsWithEqualNumbersWins() throws Exception {
			// Four operators submit different manifests with the same number
			// concurrently. Exactly one must be accepted, the other replies must name its
			// digest, and every replica must have it.
			try (ControlCluster cluster = cluster().startAll()) {
				List<CompletableFuture<ApplyReply>> replies = new ArrayList<>();
				for (int i = 0; i < 4; i++) {
					String name = "class-" + i;
					replies.add(CompletableFuture
						.supplyAsync(() -> Try.of(() -> cluster.apply(ControlCluster.manifest(9, name))).get()));
				}
				List<ApplyReply> all = replies.stream().map(CompletableFuture::join).toList();
				assertThat(all.stream().filter((r) -> r.getResult().getCode() == 0).count()).isEqualTo(1);
				assertThat(all.stream().map(ApplyReply::getDigest).distinct().count()).isEqualTo(1);
				for (int i = 0; i < 3; i++) {
					int replica = i;
					ControlCluster.await("number 9", () -> cluster.manifestNumber(replica) == 9);
					assertThat(cluster.status(i).getDigest()).isEqualTo(all.get(0).getDigest());
				}
			}
		}

		@Test
		void leaderCrashLosesNothingAndTheOldLeaderCatchesUp() throws Exception {
			// The leader crashes after its reply. The next leader must have the manifest
			// and accept further ones, and the old leader must catch up after a restart.
			try (ControlCluster cluster = cluster().startAll()) {
				assertOk(cluster.apply(ControlCluster.manifest(1, "urgent")));
				int dead = cluster.leader();
				cluster.kill(dead);
				assertOk(cluster.apply(ControlCluster.manifest(2, "standard")));
				assertThat(cluster.leader()).isNotEqualTo(dead);
				cluster.start(dead);
				ControlCluster.await("number 2 on the old leader", () -> cluster.manifestNumber(dead) == 2);
			}
		}

		@Test
		void stoppedLeaderTransfersLeadership() throws Exception {
			try (ControlCluster cluster = cluster().startAll()) {
				int old = cluster.leader();
				long term = cluster.status(old).getTerm();
				cluster.stop(old);
				int next = cluster.leader();
				assertThat(next).isNotEqualTo(old);
				assertThat(cluster.status(next).getTerm()).isEqualTo(term + 1);
				assertOk(cluster.apply(ControlCluster.manifest(1, "urgent")));
			}
		}

		@Test
		void emptyFolderRejoinsAsANewReplicaAndASecondFailureLosesNothing() throws Exception {
			// A VM loses its disk and restarts with the same settings, which list it as
			// an initial member. It must neither bootstrap again nor vote under its old
			// identity: it joins as a learner, is promoted, and the old identity is
			// removed. When further VMs fail afterwards, no committed manifest may be
			// lost.
			try (ControlCluster cluster = cluster().startAll()) {
				assertOk(cluster.apply(ControlCluster.manifest(1, "urgent")));
				int lost = (cluster.leader() + 1) % 3;
				int second = (cluster.leader() + 2) % 3;
				List<MemberRecord> before = cluster.status(cluster.leader()).getMembers();
				cluster.kill(lost);
				delete(cluster.data(lost));
				assertOk(cluster.apply(ControlCluster.manifest(2, "standard")));
				cluster.start(lost);
				ControlCluster.await("the replacement of the lost replica", () -> isRepaired(cluster, before));
				cluster.kill(second);
				assertOk(cluster.apply(ControlCluster.manifest(3, "overnight")));
				cluster.kill(cluster.leader());
				cluster.start(second);
				ControlCluster.await("number 3 after the crash of the leader that accepted it",
						() -> cluster.manifestNumber(lost) == 3);
				ControlCluster.await("number 3 on the second", () -> cluster.manifestNumber(second) == 3);
			}
		}

		private boolean isRepaired(ControlCluster cluster, List<MemberRecord> before) {
			List<MemberRecord> now = Try.of(() -> cluster.status(cluster.leader()).getMembers()).getOrElse(before);
			return now.size() == 3 && now.stream().allMatch(MemberRecord::isVoter) && !now.equals(before);
		}

		@Test
		void replicaThatJoinsIsReadyAsAVoterOnly() throws Exception {
			// A VM restarts after the loss of its disk. Its replica has a leader and the
			// latest state while it is still a learner. If it reported ready then, an
			// operator would stop the next VM and leave one voter of two.
			try (ControlCluster cluster = cluster().startAll()) {
				int lost = (cluster.leader() + 1) % 3;
				cluster.kill(lost);
				delete(cluster.data(lost));
				ControlDaemon empty = cluster.start(lost);
				ControlCluster.await("ready", empty::isReady);
				List<MemberRecord> own = cluster.status(lost)
					.getMembers()
					.stream()
					.filter((member) -> member.getVm().equals("control-" + lost))
					.toList();
				assertThat(own).hasSize(1);
				assertThat(own.get(0).isVoter()).isTrue();
				cluster.kill((lost + 1) % 3);
				assertOk(cluster.apply(ControlCluster.manifest(1, "urgent")));
			}
		}

		@Test
		void emptyReplicaDoesNotBootstrapWhileAnInitialMemberIsDown() throws Exception {
			// One VM has lost its disk and the other two are down. If the empty replica
			// bootstrapped now, the configuration would be lost.
			try (ControlCluster cluster = cluster().startAll()) {
				assertOk(cluster.apply(ControlCluster.manifest(4, "urgent")));
				int lost = cluster.leader();
				for (int i = 0; i < 3; i++) {
					cluster.kill(i);
				}
				delete(cluster.data(lost));
				ControlDaemon empty = cluster.start(lost);
				assertThat(empty.isReady()).isFalse();
				int other = (lost + 1) % 3;
				cluster.start(other);
				cluster.start((lost + 2) % 3);
				ControlCluster.await("number 4 on the empty one", () -> cluster.manifestNumber(lost) == 4);
			}
		}

		@Test
		void laggingReplicaCatchesUpFromASnapshot() throws Exception {
			try (ControlCluster cluster = cluster().snapshotEntries(20)) {
				cluster.startAll();
				int away = (cluster.leader() + 1) % 3;
				cluster.kill(away);
				for (int i = 1; i <= 60; i++) {
					assertOk(cluster.apply(ControlCluster.manifest(i, "class-" + i)));
				}
				cluster.start(away);
				ControlCluster.await("number 60", () -> cluster.manifestNumber(away) == 60);
			}
		}

	}

	@Nested
	class SixReplicas {

		private boolean isMember(ControlCluster cluster, int replica) {
			return Try.of(() -> cluster.status(cluster.leader()).getMembers())
				.getOrElse(List.of())
				.stream()
				.anyMatch((member) -> member.getVm().equals("control-" + replica));
		}

		// Guards against a replica that never rejoins after the spare has replaced it,
		// because the membership in its own data folder still lists it.
		@Test
		void restartedReplicaRejoinsAfterSpareReplacedIt() throws Exception {
			try (ControlCluster cluster = new ControlCluster(ControlClusterTests.this.folder, 6).initialMembers(3)) {
				cluster.startAll();
				int restarted = (cluster.leader() + 1) % 3;
				cluster.kill(restarted);
				ControlCluster.await("the removal of the stopped replica", () -> !isMember(cluster, restarted));
				cluster.start(restarted);
				ControlCluster.await("the restarted replica to rejoin", () -> isMember(cluster, restarted));
				assertOk(cluster.apply(ControlCluster.manifest(1, "urgent")));
				ControlCluster.await("number 1 on the restarted replica", () -> cluster.manifestNumber(restarted) == 1);
			}
		}

	}

}
