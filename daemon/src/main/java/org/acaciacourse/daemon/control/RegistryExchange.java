package org.acaciacourse.daemon.control;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import org.acaciacourse.core.consensus.Member;
import org.acaciacourse.core.consensus.ReplicaStatus.Role;
import org.acaciacourse.core.state.ClaimOutcome;
import org.acaciacourse.core.state.Command;
import org.acaciacourse.core.state.ControlState;
import org.acaciacourse.daemon.codec.ReplicaCodec;
import org.acaciacourse.daemon.inner.SharedKey;
import org.acaciacourse.daemon.telemetry.DecisionLog;
import org.acaciacourse.daemon.telemetry.LogEvent;
import org.acaciacourse.protocol.generated.EntryStatus;
import org.acaciacourse.protocol.generated.Result;

/**
 * The periodic tasks between control VMs: fetch the entry VMs that poll the other control
 * VMs, end the runs of entry VMs that poll none, and request to join on a replica that no
 * leader replicates to.
 * <p>
 * A run may be ended while its entry VM is alive on the other side of a network
 * partition. This is harmless: its claims become unknown, never not run, so that such a
 * request is not sent again, and the run can still complete them with its response.
 * <p>
 * Thread safe.
 */
final class RegistryExchange implements AutoCloseable {

	private static final long PERIOD_MILLIS = 2000;

	/** The period where endpoints are ordered by the demand that entry VMs tell. */
	private static final long DEMAND_PERIOD_MILLIS = 1000;

	/**
	 * Kept short, since a replica outside the membership does not count towards the
	 * quorum.
	 */
	private static final long JOIN_MILLIS = 400;

	/** Limits the log of a replica that is not admitted to one line in four seconds. */
	private static final int ATTEMPTS_PER_JOIN_LOG = 10;

	private static final String RUN_SEPARATOR = "#";

	private final ReplicaLoop loop;

	private final Member self;

	private final Supplier<List<String>> seeds;

	private final SharedKey key;

	private final EntryRegistry registry;

	private final long periodMillis;

	private Optional<PeriodicTask> exchangeTask = Optional.empty();

	private Optional<PeriodicTask> joinTask = Optional.empty();

	private int joinAttempts;

	private int lastVmCount;

	private long leadingSince;

	RegistryExchange(ReplicaLoop loop, Member self, Supplier<List<String>> seeds, SharedKey key, EntryRegistry registry,
			boolean followsDemand) {
		this.loop = loop;
		this.self = self;
		this.seeds = seeds;
		this.key = key;
		this.registry = registry;
		this.periodMillis = (followsDemand) ? DEMAND_PERIOD_MILLIS : PERIOD_MILLIS;
	}

	void start() {
		this.exchangeTask = Optional.of(new PeriodicTask("registry-" + this.self.vm(), this.periodMillis, this::run));
		this.joinTask = Optional.of(new PeriodicTask("join-" + this.self.vm(), JOIN_MILLIS, this::joinIfNeeded));
	}

	private void run() {
		fetch(false);
		int count = this.registry.liveVmCount(System.currentTimeMillis());
		if (count != this.lastVmCount) {
			this.lastVmCount = count;
			this.loop.views().signalChange();
		}
		endExpiredRuns(System.currentTimeMillis());
	}

	private void joinIfNeeded() {
		ReplicaView view = this.loop.views().latest();
		if (!view.needsToJoin()) {
			this.joinAttempts = 0;
			return;
		}
		// If the seeds no longer exist, the members that this replica knew last may still
		// do.
		Set<String> addresses = new LinkedHashSet<>(this.seeds.get());
		view.membership().members().stream().map(Member::address).forEach(addresses::add);
		addresses.remove(this.self.address());
		List<Integer> resultCodes = addresses.stream()
			.flatMap((address) -> join(address).stream())
			.map(Result::getCode)
			.toList();
		if (this.joinAttempts++ % ATTEMPTS_PER_JOIN_LOG == 0) {
			boolean listed = view.membership().member(this.self.id()).isPresent();
			DecisionLog.write(LogEvent.JOIN_ASKED, this.self.id().value(), listed, addresses.size(), resultCodes);
		}
	}

	private Optional<Result> join(String address) {
		Optional<Result> response = askToJoin(address);
		return response.filter((result) -> result.isSetLeaderAddress() && !result.getLeaderAddress().equals(address))
			.flatMap((result) -> askToJoin(result.getLeaderAddress()))
			.or(() -> response);
	}

	private Optional<Result> askToJoin(String address) {
		return PeerCalls.call(address, (c) -> c.replica().join(this.key.text(), ReplicaCodec.encode(this.self)));
	}

	private void fetch(boolean withReports) {
		boolean all = true;
		for (Member member : this.loop.views().latest().membership().members()) {
			if (!member.id().equals(this.self.id())) {
				Optional<List<EntryStatus>> told = PeerCalls.call(member.address(),
						(c) -> c.control().entries(this.key.text(), withReports));
				told.ifPresent((entries) -> this.registry.updateFromPeer(member.address(), entries,
						System.currentTimeMillis()));
				all &= told.isPresent();
			}
		}
		this.registry.peersHeard(all);
	}

	/**
	 * Fetch the entry VMs of the other control VMs with their results, and return all
	 * live ones.
	 * @return the live entry VMs
	 */
	List<EntryStatus> fetchLiveWithReports() {
		fetch(true);
		return this.registry.liveEntries(System.currentTimeMillis());
	}

	private void endExpiredRuns(long now) {
		if (this.loop.views().latest().status().role() != Role.LEADER) {
			this.leadingSince = 0;
			return;
		}
		if (this.leadingSince == 0) {
			this.leadingSince = now;
		}
		if (now - this.leadingSince < 2 * EntryRegistry.EXPIRY_MILLIS) {
			// A new leader may not know all live entry VMs yet.
			return;
		}
		Set<String> alive = this.registry.liveOwners(now);
		Replies.await(this.loop.query((state) -> expiredRuns(state, alive, now)))
			.forEach((runs) -> runs.forEach((run) -> this.loop.propose((state, at) -> new Command.EndOwner(at, run))));
	}

	/**
	 * Return the runs that hold old claims in progress and poll no control VM.
	 * @param state the state
	 * @param alive the runs that poll some control VM
	 * @param now the wall-clock time in milliseconds
	 * @return the runs to end
	 */
	static Set<String> expiredRuns(ControlState state, Set<String> alive, long now) {
		return state.snapshot()
			.claims()
			.stream()
			.filter((claim) -> claim.outcome() == ClaimOutcome.IN_PROGRESS)
			.filter((claim) -> now - claim.changedAt() > EntryRegistry.EXPIRY_MILLIS)
			.map((claim) -> claim.owner().split(RUN_SEPARATOR, 2)[0])
			.filter((run) -> !alive.contains(run))
			.collect(Collectors.toSet());
	}

	@Override
	public void close() {
		this.exchangeTask.ifPresent(PeriodicTask::close);
		this.joinTask.ifPresent(PeriodicTask::close);
	}

}
