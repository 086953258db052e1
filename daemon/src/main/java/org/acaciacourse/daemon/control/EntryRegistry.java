package org.acaciacourse.daemon.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.acaciacourse.core.balance.LoadPeer;
import org.acaciacourse.core.scaling.FleetDemand;
import org.acaciacourse.daemon.codec.DemandCodec;
import org.acaciacourse.protocol.generated.ClassReport;
import org.acaciacourse.protocol.generated.EntryStatus;
import org.acaciacourse.protocol.generated.PollRequest;

/**
 * The entry VMs that poll this control VM, and those that the other control VMs reported.
 * An entry VM that has moved to another control VM is listed once, with its latest
 * status. One run of an entry VM's process is identified by its owner string. Invariant:
 * at most {@value #MAX_ENTRIES} entry VMs are kept for each control VM.
 * <p>
 * Thread safe.
 */
final class EntryRegistry {

	/** An entry VM expires after this time without a poll. */
	static final long EXPIRY_MILLIS = 10_000;

	static final int MAX_ENTRIES = 4096;

	/**
	 * An entry VM polls about once a second, and turns to another control VM after a
	 * second and a half. The demand of one that was not heard of for longer may have
	 * changed.
	 */
	static final long DEMAND_AGE_MILLIS = 5_000;

	private final Map<String, EntryStatus> localEntries = new HashMap<>();

	private final Map<String, Map<String, EntryStatus>> peerEntries = new HashMap<>();

	private boolean allPeersHeard;

	/**
	 * Record a poll of an entry VM.
	 * @param poll the poll
	 * @param now the wall-clock time in milliseconds
	 */
	synchronized void recordPoll(PollRequest poll, long now) {
		this.localEntries.values().removeIf((entry) -> now - entry.getLastSeenMillis() > EXPIRY_MILLIS);
		if (this.localEntries.size() >= MAX_ENTRIES && !this.localEntries.containsKey(poll.getOwner())) {
			return;
		}
		EntryStatus status = new EntryStatus(poll.getVm(), poll.getDataCentre(), poll.getNumber(), poll.getDigest(),
				now, poll.isLeaving(), poll.getReports(), poll.getOwner(), poll.getLoadAddress());
		EntryStatus former = this.localEntries.get(poll.getOwner());
		// Told only where it has changed.
		status.setDemand((!poll.isSetDemand() && former != null) ? former.getDemand() : poll.getDemand());
		this.localEntries.put(poll.getOwner(), status);
	}

	/**
	 * Update the time an entry VM was last seen, at the end of its long poll.
	 * @param owner the run of the entry VM
	 * @param now the wall-clock time in milliseconds
	 */
	synchronized void refreshLastSeen(String owner, long now) {
		EntryStatus status = this.localEntries.get(owner);
		if (status != null) {
			this.localEntries.put(owner, status.deepCopy().setLastSeenMillis(now));
		}
	}

	/**
	 * Replace the entry VMs that another control VM reported.
	 * @param address the address of that control VM
	 * @param entries its entry VMs, with the age in milliseconds in place of the time
	 * last seen
	 * @param now the wall-clock time in milliseconds
	 */
	synchronized void updateFromPeer(String address, List<EntryStatus> entries, long now) {
		Map<String, EntryStatus> table = new HashMap<>();
		entries.stream()
			.limit(MAX_ENTRIES)
			.forEach((entry) -> table.put(entry.getOwner(),
					entry.deepCopy().setLastSeenMillis(now - entry.getLastSeenMillis())));
		this.peerEntries.put(address, table);
	}

	/**
	 * Return the entry VMs that poll this control VM, for another control VM. The clocks
	 * of VMs differ, so ages are sent instead of times.
	 * @param withReports whether to include the results per class
	 * @param now the wall-clock time in milliseconds
	 * @return the entry VMs, with the age in milliseconds in place of the time last seen
	 */
	synchronized List<EntryStatus> localEntries(boolean withReports, long now) {
		return this.localEntries.values()
			.stream()
			.map((entry) -> withAge(entry, withReports, now))
			.filter((entry) -> entry.getLastSeenMillis() <= EXPIRY_MILLIS)
			.toList();
	}

	private static EntryStatus withAge(EntryStatus entry, boolean withReports, long now) {
		List<ClassReport> reports = (withReports) ? entry.getReports() : List.of();
		return new EntryStatus(entry.getVm(), entry.getDataCentre(), entry.getNumber(), entry.getDigest(),
				now - entry.getLastSeenMillis(), entry.isLeaving(), reports, entry.getOwner(), entry.getLoadAddress())
			.setDemand(entry.getDemand());
	}

	/**
	 * Record whether all other control VMs have told which entry VMs poll them.
	 * @param all whether what this control VM knows is complete
	 */
	synchronized void peersHeard(boolean all) {
		this.allPeersHeard = all;
	}

	/**
	 * Add up the demand that the live entry VMs have told.
	 * @param now the wall-clock time in milliseconds
	 * @return the demand; incomplete if an entry VM tells none or was not heard of for
	 * {@value #DEMAND_AGE_MILLIS} ms, or if a control VM did not tell its entry VMs
	 */
	synchronized FleetDemand demand(long now) {
		FleetDemand.Sum sum = new FleetDemand.Sum();
		liveEntries(now).forEach((entry) -> {
			if (entry.isSetDemand()) {
				sum.add(DemandCodec.decode(entry.getDemand()));
			}
			if (!entry.isSetDemand() || now - entry.getLastSeenMillis() > DEMAND_AGE_MILLIS) {
				sum.missing();
			}
		});
		if (!this.allPeersHeard) {
			sum.missing();
		}
		return sum.total();
	}

	/**
	 * Return all live entry VMs that this control VM knows.
	 * @param now the wall-clock time in milliseconds
	 * @return the entry VMs, each with its latest status
	 */
	synchronized List<EntryStatus> liveEntries(long now) {
		Map<String, EntryStatus> latest = new HashMap<>(this.localEntries);
		this.peerEntries.values()
			.forEach((table) -> table.forEach((owner, entry) -> latest.merge(owner, entry, EntryRegistry::lastSeen)));
		return latest.values().stream().filter((entry) -> now - entry.getLastSeenMillis() <= EXPIRY_MILLIS).toList();
	}

	private static EntryStatus lastSeen(EntryStatus a, EntryStatus b) {
		return (a.getLastSeenMillis() >= b.getLastSeenMillis()) ? a : b;
	}

	/**
	 * Return the runs of the live entry VMs.
	 * @param now the wall-clock time in milliseconds
	 * @return the owners
	 */
	Set<String> liveOwners(long now) {
		Set<String> owners = new HashSet<>();
		liveEntries(now).forEach((entry) -> owners.add(entry.getOwner()));
		return owners;
	}

	/**
	 * Return the live entry VMs that receive load digests of others.
	 * @param owner the run of the requesting entry VM, which is left out
	 * @param now the wall-clock time in milliseconds
	 * @return the entry VMs, sorted by address
	 */
	List<LoadPeer> loadPeers(String owner, long now) {
		Map<String, LoadPeer> peers = new TreeMap<>();
		liveEntries(now).stream()
			.filter((entry) -> !entry.getOwner().equals(owner) && !entry.isLeaving())
			.filter((entry) -> entry.getLoadAddress() != null && !entry.getLoadAddress().isEmpty())
			.forEach((entry) -> peers.put(entry.getLoadAddress(),
					new LoadPeer(entry.getLoadAddress(), entry.getDataCentre())));
		return List.copyOf(peers.values());
	}

	/**
	 * Count the live entry VMs that are not leaving.
	 * @param now the wall-clock time in milliseconds
	 * @return the number, at least 1
	 */
	int liveVmCount(long now) {
		long count = liveEntries(now).stream()
			.filter((entry) -> !entry.isLeaving())
			.map(EntryStatus::getVm)
			.distinct()
			.count();
		return (int) Math.max(count, 1);
	}

}
