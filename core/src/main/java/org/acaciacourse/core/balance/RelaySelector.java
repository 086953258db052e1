package org.acaciacourse.core.balance;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import net.openhft.hashing.LongHashFunction;

/**
 * Selects the entry VM that aggregates the loads of a group. The VMs of a data centre
 * form a group, and a large data centre is divided into several. The relay of a group is
 * the first of its VMs in the order of rendezvous hashing that answers reports. VMs whose
 * member lists differ for a while select different relays, which costs messages but does
 * no harm: any VM that receives reports aggregates them.
 * <p>
 * Not thread safe: belongs to one {@link LoadExchange}.
 */
final class RelaySelector {

	/** Bounds the number of messages that a relay receives and sends. */
	static final int MAX_GROUP_SIZE = 24;

	/** How long a relay may send nothing to the VMs that report to it: three views. */
	static final long RELAY_TIMEOUT_NANOS = 600_000_000L;

	/** How long a silent relay is not selected: longer than most pauses of a VM. */
	static final long EXCLUSION_NANOS = 3_000_000_000L;

	private static final long PROBE_INTERVAL_NANOS = 500_000_000L;

	/** The preferred relay of a group and its first substitute. */
	private static final int PROBED_PER_GROUP = 2;

	private static final LongHashFunction HASH = LongHashFunction.xx3();

	private final LoadPeer self;

	/** The VMs of each group, the preferred relay first. */
	private Map<String, List<String>> groups = Map.of();

	private Map<String, String> groupOf = Map.of();

	private final Map<String, Long> excludedUntil = new HashMap<>();

	private final Map<String, Long> summaryReceivedAt = new HashMap<>();

	/** The time since which no relay of a group was heard from. */
	private final Map<String, Long> withoutRelaySince = new HashMap<>();

	private long probedAt;

	private String currentRelay = "";

	private long viewReceivedAt;

	RelaySelector(LoadPeer self) {
		this.self = self;
	}

	/**
	 * Set the live VMs.
	 * @param peers the VMs, with or without this one
	 */
	void peers(List<LoadPeer> peers) {
		Set<LoadPeer> all = new LinkedHashSet<>(peers);
		all.add(this.self);
		Map<String, List<String>> next = new TreeMap<>();
		all.stream().collect(Collectors.groupingBy(LoadPeer::dataCentre)).forEach((dataCentre, vms) -> {
			int parts = (vms.size() + MAX_GROUP_SIZE - 1) / MAX_GROUP_SIZE;
			vms.forEach((vm) -> next
				.computeIfAbsent(dataCentre + "/" + Math.floorMod(hash(vm.address()), parts),
						(name) -> new ArrayList<>())
				.add(vm.address()));
		});
		next.forEach((name, vms) -> vms
			.sort(Comparator.comparingLong((String vm) -> hash(name + "/" + vm)).thenComparing((vm) -> vm)));
		Map<String, String> names = new HashMap<>();
		next.forEach((name, vms) -> vms.forEach((vm) -> names.put(vm, name)));
		this.groups = next;
		this.groupOf = names;
		this.summaryReceivedAt.keySet().retainAll(names.keySet());
		this.withoutRelaySince.keySet().retainAll(next.keySet());
		this.excludedUntil.keySet().retainAll(names.keySet());
	}

	private static long hash(String text) {
		return HASH.hashBytes(text.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Find the relay of this VM's group.
	 * @param now the time
	 * @return its address, nothing if it is this VM
	 */
	Optional<String> relay(long now) {
		for (String vm : this.groups.get(this.groupOf.get(this.self.address()))) {
			if (vm.equals(this.self.address())) {
				return Optional.empty();
			}
			if (this.excludedUntil.getOrDefault(vm, now) <= now && isResponsive(vm, now)) {
				return Optional.of(vm);
			}
		}
		return Optional.empty();
	}

	private boolean isResponsive(String vm, long now) {
		if (!this.currentRelay.equals(vm)) {
			this.currentRelay = vm;
			this.viewReceivedAt = now;
		}
		if (now - this.viewReceivedAt <= RELAY_TIMEOUT_NANOS) {
			return true;
		}
		this.excludedUntil.put(vm, now + EXCLUSION_NANOS);
		this.currentRelay = "";
		return false;
	}

	/**
	 * Record that a view arrived.
	 * @param sender its sender
	 * @param now the time
	 * @return whether the sender is the relay that this VM reports to
	 */
	boolean viewReceived(String sender, long now) {
		if (!this.currentRelay.equals(sender)) {
			return false;
		}
		this.viewReceivedAt = now;
		return true;
	}

	/**
	 * Record that a summary arrived, which shows that its sender is a relay.
	 * @param sender its sender
	 * @param now the time
	 */
	void summaryReceived(String sender, long now) {
		if (this.groupOf.containsKey(sender)) {
			this.summaryReceivedAt.put(sender, now);
		}
	}

	// A relay that resumes after a pause has no reports: it must learn of its substitute.
	private List<String> rankedAboveSelf() {
		List<String> own = this.groups.get(this.groupOf.get(this.self.address()));
		return own.subList(0, own.indexOf(this.self.address()));
	}

	// Relays that were disconnected and their substitutes would otherwise each know only
	// the relays on their own side.
	private List<String> probeTargets(long now) {
		if (now - this.probedAt < PROBE_INTERVAL_NANOS) {
			return List.of();
		}
		this.probedAt = now;
		return this.groups.values().stream().flatMap((vms) -> vms.stream().limit(PROBED_PER_GROUP)).toList();
	}

	/**
	 * Return the relays that receive the summary of a relay: those recently heard from,
	 * at intervals the preferred ones of each group, and for a group without a known
	 * relay its VMs in turn.
	 * @param now the time
	 * @return their addresses
	 */
	List<String> summaryReceivers(long now) {
		this.summaryReceivedAt.values().removeIf((at) -> now - at > PeerLoads.EXPIRY_NANOS);
		Set<String> receivers = new LinkedHashSet<>(this.summaryReceivedAt.keySet());
		receivers.addAll(rankedAboveSelf());
		receivers.addAll(probeTargets(now));
		Set<String> groupsWithRelay = this.summaryReceivedAt.keySet()
			.stream()
			.map(this.groupOf::get)
			.collect(Collectors.toSet());
		String own = this.groupOf.get(this.self.address());
		this.groups.forEach((name, vms) -> {
			if (groupsWithRelay.contains(name) || name.equals(own)) {
				this.withoutRelaySince.remove(name);
			}
			else {
				long since = this.withoutRelaySince.computeIfAbsent(name, (missing) -> now);
				receivers.add(vms.get((int) ((now - since) / RELAY_TIMEOUT_NANOS % vms.size())));
			}
		});
		receivers.remove(this.self.address());
		return List.copyOf(receivers);
	}

}
