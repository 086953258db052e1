package org.acaciacourse.daemon.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.acaciacourse.core.balance.LoadPeer;
import org.acaciacourse.protocol.generated.ClassReport;
import org.acaciacourse.protocol.generated.EntryStatus;
import org.acaciacourse.protocol.generated.PollRequest;

/**
 * The entry VMs that poll this control VM, and what the other control VMs told of theirs.
 * An entry that moved is listed once, as it was seen last. Invariant: at most
 * {@value #MAX_ENTRIES} entries are kept.
 * <p>
 * Thread safe.
 */
final class EntryRegistry {

	/** An entry is silent after so long without a poll. */
	static final long EXPIRY_MILLIS = 10_000;

	static final int MAX_ENTRIES = 4096;

	private final Map<String, EntryStatus> localEntries = new HashMap<>();

	private final Map<String, Map<String, EntryStatus>> peerEntries = new HashMap<>();

	/**
	 * An entry polled.
	 * @param poll its poll
	 * @param now the wall-clock time in milliseconds
	 */
	synchronized void recordPoll(PollRequest poll, long now) {
		this.localEntries.values().removeIf((entry) -> now - entry.getLastSeenMillis() > EXPIRY_MILLIS);
		if (this.localEntries.size() >= MAX_ENTRIES && !this.localEntries.containsKey(poll.getOwner())) {
			return;
		}
		EntryStatus status = new EntryStatus(poll.getVm(), poll.getDataCentre(), poll.getNumber(), poll.getDigest(),
				now, poll.isLeaving(), poll.getReports(), poll.getOwner(), poll.getLoadAddress());
		this.localEntries.put(poll.getOwner(), status);
	}

	/**
	 * An entry is still there, at the end of its long poll.
	 * @param owner its run
	 * @param now the wall-clock time in milliseconds
	 */
	synchronized void refreshLastSeen(String owner, long now) {
		EntryStatus status = this.localEntries.get(owner);
		if (status != null) {
			this.localEntries.put(owner, status.deepCopy().setLastSeenMillis(now));
		}
	}

	/**
	 * Another control VM told of its entries.
	 * @param address the address of that VM
	 * @param entries its entries, with their age in place of the time they were seen
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
	 * Return the own entries for another control VM. Clocks of VMs differ, so ages are
	 * told, not times.
	 * @param withReports whether to add the results per class
	 * @param now the wall-clock time in milliseconds
	 * @return the entries, with their age in place of the time they were seen
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
				now - entry.getLastSeenMillis(), entry.isLeaving(), reports, entry.getOwner(), entry.getLoadAddress());
	}

	/**
	 * Return all live entries that are known here.
	 * @param now the wall-clock time in milliseconds
	 * @return the entries, each as it was seen last
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
	 * Return the runs of entry VMs that are alive.
	 * @param now the wall-clock time in milliseconds
	 * @return the owners
	 */
	Set<String> liveOwners(long now) {
		Set<String> owners = new HashSet<>();
		liveEntries(now).forEach((entry) -> owners.add(entry.getOwner()));
		return owners;
	}

	/**
	 * Return the live entries that take the load of others.
	 * @param owner the run of the entry that asks, which is left out
	 * @param now the wall-clock time in milliseconds
	 * @return the entries in the order of their addresses
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
