package org.acaciacourse.daemon.control;

import java.util.concurrent.CompletionStage;

import org.acaciacourse.core.consensus.ReplicaStatus.Role;
import org.acaciacourse.core.state.Command;
import org.acaciacourse.core.state.CommandResult;
import org.acaciacourse.core.state.CommandResult.LeaseResult;
import org.acaciacourse.daemon.lease.LeaseCalls;
import org.acaciacourse.daemon.order.OrderWriterLoop;

/**
 * Acquires the lease for writing engine orders through this VM's own replica. Only the
 * leader does, so that the lease moves with the leadership.
 * <p>
 * Thread safe.
 */
final class OrderLease implements LeaseCalls {

	private final ReplicaLoop loop;

	OrderLease(ReplicaLoop loop) {
		this.loop = loop;
	}

	@Override
	public boolean isCandidate() {
		return this.loop.views().latest().status().role() == Role.LEADER;
	}

	@Override
	public CompletionStage<LeaseResult> acquire(String holder, long durationMillis) {
		return this.loop
			.propose((state, now) -> new Command.AcquireLease(now, OrderWriterLoop.LEASE, holder, durationMillis))
			.thenApply((result) -> (LeaseResult) result);
	}

	@Override
	public CompletionStage<CommandResult> release(String holder, long fencingNumber) {
		return this.loop
			.propose((state, now) -> new Command.ReleaseLease(now, OrderWriterLoop.LEASE, holder, fencingNumber));
	}

}
