package org.acaciacourse.daemon.control;

import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

import io.vavr.control.Try;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.consensus.HardState;
import org.acaciacourse.core.consensus.LogEntry;
import org.acaciacourse.core.consensus.Member;
import org.acaciacourse.core.consensus.Membership;
import org.acaciacourse.core.consensus.MembershipCodec;
import org.acaciacourse.core.consensus.ReplicaMessage;
import org.acaciacourse.core.consensus.ReplicaTiming;
import org.acaciacourse.core.state.Command;
import org.acaciacourse.core.state.CommandResult;
import org.acaciacourse.daemon.store.MemoryDisk;
import org.acaciacourse.daemon.store.ReplicaStore;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class ReplicaLoopTests {

	private final MemoryDisk disk = new MemoryDisk();

	private final CompletableFuture<ResultCode> fault = new CompletableFuture<>();

	private final Queue<Double> commits = new ConcurrentLinkedQueue<>();

	private ReplicaLoop start() {
		ReplicaStore store = this.disk.openStore();
		if (store.recovered().isFresh()) {
			Membership self = new Membership(List.of(new Member(store.identity(), "control-1", "", true)));
			store.bootstrap(new HardState(1, Optional.of(store.identity())),
					new LogEntry(1, 1, LogEntry.Kind.MEMBERSHIP, MembershipCodec.encode(self)));
		}
		ReplicaDriver driver = new ReplicaDriver(store, "control-1", ReplicaTiming.defaults(), 100, new NoPeers(),
				System.nanoTime());
		ReplicaLoop loop = new ReplicaLoop("replica", driver, this.commits::add, this.fault::complete);
		loop.start();
		ControlCluster.await("leadership", () -> loop.views().latest().status().leader().isPresent());
		return loop;
	}

	private static CompletableFuture<CommandResult> reportCrash(ReplicaLoop loop, long hash) {
		return loop.propose((state, now) -> new Command.ReportCrash(now, hash, 1));
	}

	@Nested
	class FailedDisk {

		@Test
		void endsTheLoopAndReportsNoSuccess() throws Exception {
			// The disk is full when a command is written. The command must not be
			// acknowledged, and the replica must stop rather than continue with a log in
			// memory that is not on the disk.
			ReplicaLoop loop = start();
			assertThat(reportCrash(loop, 1).get().code()).isEqualTo(ResultCode.OK);
			ReplicaLoopTests.this.disk.failAfter(0);
			Throwable failure = Try.of(() -> reportCrash(loop, 2).get()).getCause().getCause();
			assertThat(((ControlException) failure).code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
			assertThat(ReplicaLoopTests.this.fault.get()).isEqualTo(ResultCode.DISK_FAILED);
			assertThat(ReplicaLoopTests.this.commits).hasSize(1);
			assertThat(Try.of(() -> reportCrash(loop, 3).get()).isFailure()).isTrue();
		}

	}

	@Nested
	class GroupCommit {

		@Test
		void syncsOnceForManyProposals() throws Exception {
			ReplicaLoop loop = start();
			AtomicInteger done = new AtomicInteger();
			int before = ReplicaLoopTests.this.disk.syncs();
			CompletableFuture<?>[] all = new CompletableFuture<?>[300];
			for (int i = 0; i < all.length; i++) {
				all[i] = reportCrash(loop, i).thenRun(done::incrementAndGet);
			}
			CompletableFuture.allOf(all).get();
			assertThat(done.get()).isEqualTo(300);
			assertThat(ReplicaLoopTests.this.disk.syncs() - before).isLessThan(300);
			loop.stop();
		}

	}

	/** Fails on any message, as a replica without peers sends none. */
	private static final class NoPeers implements ReplicaDriver.Outbox {

		@Override
		public void add(Member to, ReplicaMessage message) {
			throw new AssertionError("unexpected message of a replica without peers");
		}

		@Override
		public void flush() {
		}

	}

}
