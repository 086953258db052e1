package org.acaciacourse.daemon.control;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.consensus.Member;
import org.acaciacourse.core.duty.DutyCandidacy;
import org.acaciacourse.core.state.Command;
import org.acaciacourse.core.state.CommandResult.LeaseResult;
import org.acaciacourse.daemon.codec.CommandCodec;
import org.acaciacourse.daemon.duty.DutyLeaseCalls;
import org.acaciacourse.daemon.duty.DutyOptions;
import org.acaciacourse.daemon.inner.SharedKey;
import org.acaciacourse.protocol.generated.LeaseReply;
import org.acaciacourse.protocol.generated.ReleaseLeaseCommand;

/**
 * Acquires the lease of a duty from any control VM, through its own replica if it leads
 * and by a call to the leader otherwise.
 * <p>
 * Thread safe.
 */
final class DutyLease implements DutyLeaseCalls {

	/** A VM that does not lead waits longer than the leader, at least so long. */
	private static final long MIN_STANDBY_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

	/** Spreads the VMs that do not lead. */
	private static final long STANDBY_SPREAD_MILLIS = 2_000;

	private final String name;

	private final DutyOptions options;

	private final ReplicaLoop loop;

	private final Member self;

	private final SharedKey key;

	private final LeaderProposals proposals;

	private final DutyCandidacy candidacy;

	DutyLease(String name, String holder, DutyOptions options, ReplicaLoop loop, Member self, SharedKey key,
			LeaderProposals proposals) {
		this.name = name;
		this.options = options;
		this.loop = loop;
		this.self = self;
		this.key = key;
		this.proposals = proposals;
		long spread = Math.floorMod(Long.hashCode(self.id().value()), STANDBY_SPREAD_MILLIS);
		this.candidacy = new DutyCandidacy(holder, options.leaseTiming().durationNanos(),
				MIN_STANDBY_NANOS + TimeUnit.MILLISECONDS.toNanos(spread), System.nanoTime());
	}

	// The answer of the query is there at the next call, within the interval of renewals.
	@Override
	public boolean isCandidate() {
		this.loop.query((state) -> state.latestLease(this.name)).thenAccept((latest) -> {
			synchronized (this.candidacy) {
				this.candidacy.observe(latest, System.nanoTime());
			}
		});
		synchronized (this.candidacy) {
			return this.candidacy.isCandidate(this.proposals.isLeader(), System.nanoTime());
		}
	}

	@Override
	public void abstain(long nanos) {
		synchronized (this.candidacy) {
			this.candidacy.abstain(nanos, System.nanoTime());
		}
	}

	@Override
	public CompletionStage<LeaseResult> acquire(String holder, long durationMillis) {
		return this.proposals.propose((state, now) -> command(now, holder, durationMillis), LeaseResult.class,
				(leader) -> leader.control()
					.acquireLease(this.key.text(), CommandCodec.encode(command(0, holder, durationMillis))),
				DutyLease::result);
	}

	private Command.AcquireLease command(long now, String holder, long durationMillis) {
		return new Command.AcquireLease(now, this.name, holder, durationMillis, this.self.vm(),
				this.options.returnMillis(), true);
	}

	@Override
	public CompletionStage<LeaseResult> release(String holder, long fencingNumber) {
		return this.proposals.propose((state, now) -> new Command.ReleaseLease(now, this.name, holder, fencingNumber),
				LeaseResult.class,
				(leader) -> leader.control()
					.releaseLease(this.key.text(), new ReleaseLeaseCommand(this.name, holder, fencingNumber)),
				DutyLease::result);
	}

	private static Optional<LeaseResult> result(LeaseReply reply) {
		return ResultCode.ofNumber(reply.getResult().getCode())
			.filter((code) -> code == ResultCode.OK || code == ResultCode.LEASE_HELD || code == ResultCode.FENCED)
			.map((code) -> new LeaseResult(code, "", reply.getFencingNumber(), reply.getRemainingMillis()));
	}

}
