package org.acaciacourse.daemon.control;

import java.util.List;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.consensus.Member;
import org.acaciacourse.core.state.ControlState;
import org.acaciacourse.core.state.ControlStateSnapshot.Lease;
import org.acaciacourse.daemon.codec.ReplicaCodec;
import org.acaciacourse.daemon.codec.StateCodec;
import org.acaciacourse.protocol.generated.EntryStatus;
import org.acaciacourse.protocol.generated.StatusReply;

/**
 * Reports the state of this replica and of all live entry VMs to operators.
 * <p>
 * Thread safe.
 */
final class StatusService {

	/** Name of the lease for writing engine orders. */
	static final String ORDERS_LEASE = "engine-orders";

	private final ReplicaLoop loop;

	private final Member self;

	private final RegistryExchange exchange;

	StatusService(ReplicaLoop loop, Member self, RegistryExchange exchange) {
		this.loop = loop;
		this.self = self;
		this.exchange = exchange;
	}

	StatusReply status() {
		List<EntryStatus> entries = this.exchange.fetchLiveWithReports();
		return Replies.await(this.loop.query(this::ofState))
			.fold((failure) -> new StatusReply().setResult(Replies.result(failure)), (reply) -> {
				ReplicaView view = this.loop.views().latest();
				reply.setResult(Replies.result(ResultCode.OK)).setVm(this.self.vm());
				view.status().leader().ifPresent((leader) -> reply.getResult().setLeaderAddress(leader.address()));
				reply.setRole(view.status().role().name()).setTerm(view.status().term());
				reply.setCommitIndex(view.status().commitIndex());
				return reply.setMembers(ReplicaCodec.encode(view.membership())).setEntries(entries);
			});
	}

	private StatusReply ofState(ControlState state) {
		StatusReply reply = new StatusReply();
		reply.setNumber(state.manifestNumber())
			.setDigest(state.manifestDigest())
			.setClaims(state.statistics().claims());
		reply.setAudit(state.audit().stream().map(StateCodec::encode).toList());
		reply.setLeaseHolder(state.lease(ORDERS_LEASE).map(Lease::holder).orElse(""));
		return reply.setFencingNumber(state.statistics().fencingNumber());
	}

}
