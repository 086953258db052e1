package org.acaciacourse.daemon.control;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicBoolean;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.route.Fleet;
import org.acaciacourse.core.route.Pool;
import org.acaciacourse.core.route.RouteTableParser;
import org.acaciacourse.core.scaling.FleetDemand;
import org.acaciacourse.core.scaling.PoolProvision;
import org.acaciacourse.core.state.Command;
import org.acaciacourse.core.state.CommandResult.ProvisionResult;
import org.acaciacourse.core.state.ControlState;
import org.acaciacourse.daemon.codec.ProvisionCodec;
import org.acaciacourse.daemon.duty.ProvisionStore;
import org.acaciacourse.daemon.inner.SharedKey;

/**
 * The fleet, the pools and their provisions as a control VM knows them.
 * <p>
 * Thread safe.
 */
final class ProvisionService implements ProvisionStore {

	private final ReplicaLoop loop;

	private final FleetKeeper fleet;

	private final EntryRegistry entries;

	private final SharedKey key;

	private final LeaderProposals proposals;

	private final AtomicBoolean reading = new AtomicBoolean();

	private volatile PoolsOfTable pools = new PoolsOfTable(0, List.of());

	ProvisionService(ReplicaLoop loop, FleetKeeper fleet, EntryRegistry entries, SharedKey key,
			LeaderProposals proposals) {
		this.loop = loop;
		this.fleet = fleet;
		this.entries = entries;
		this.key = key;
		this.proposals = proposals;
	}

	@Override
	public Fleet fleet() {
		return this.fleet.current();
	}

	@Override
	public FleetDemand demand() {
		return this.entries.demand(System.currentTimeMillis());
	}

	// The pools of a new table are there at one of the next calls.
	@Override
	public List<Pool> pools() {
		long number = this.loop.views().latest().number();
		if (number > this.pools.number() && this.reading.compareAndSet(false, true)) {
			this.loop.query(ControlState::manifestDocument).whenComplete((document, failure) -> {
				if (failure == null) {
					this.pools = new PoolsOfTable(number, RouteTableParser.pools(document));
				}
				this.reading.set(false);
			});
		}
		return this.pools.pools();
	}

	@Override
	public CompletionStage<Map<String, PoolProvision>> provisions() {
		return this.loop.query(ControlState::provisions);
	}

	@Override
	public CompletionStage<ProvisionResult> record(String pool, PoolProvision provision) {
		return this.proposals.propose((state, now) -> new Command.RecordProvision(now, pool, provision),
				ProvisionResult.class,
				(leader) -> leader.control().recordProvision(this.key.text(), ProvisionCodec.encode(pool, provision)),
				(reply) -> Optional.ofNullable(reply.getProvision())
					.map((held) -> new ProvisionResult(ResultCode.OK, ProvisionCodec.decode(held))));
	}

	private record PoolsOfTable(long number, List<Pool> pools) {
	}

}
