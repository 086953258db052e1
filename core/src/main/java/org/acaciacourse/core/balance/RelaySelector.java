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
 * Which entry VM sums the loads of a group up. The VMs of a data centre are a group, a
 * large data centre is divided into several. The relay of a group is the first of its VMs
 * by rendezvous hashing that answers its reports. VMs whose lists of one another differ
 * for a while choose different relays, which costs messages and nothing else: whoever
 * gets reports sums them up.
 * <p>
 * Not thread safe: belongs to one {@link LoadExchange}.
 */
final class RelaySelector {

	/** Bounds what a relay receives and sends. */
	static final int MAX_GROUP_SIZE = 24;

	/**
	 * How long a relay may be silent to those that report to it: three views.
	 */
	static final long RELAY_TIMEOUT_NANOS = 600_000_000L;

	/** How long a silent relay is passed over: longer than most VMs are frozen. */
	static final long EXCLUSION_NANOS = 3_000_000_000L;

	private static final long PROBE_INTERVAL_NANOS = 500_000_000L;

	/** The preferred relay of a group and the one that stands in for it. */
	private static final int PROBED_PER_GROUP = 2;

	private static final LongHashFunction HASH = LongHashFunction.xx3();

	private final LoadPeer self;

	/** The VMs of each group, the preferred relay first. */
	private Map<String, List<String>> groups = Map.of();

	private Map<String, String> groupOf = Map.of();

	private final Map<String, Long> excludedUntil = new HashMap<>();

	private final Map<String, Long> summaryReceivedAt = new HashMap<>();

	/** Since when no relay of a group was heard. */
	private final Map<String, Long> withoutRelaySince = new HashMap<>();

	private long probedAt;

	private String currentRelay = "";

	private long viewReceivedAt;

	RelaySelector(LoadPeer self) {
		this.self = self;
	}

	/**
	 * Take the VMs that are live.
	 * @param peers all of them, with or without this VM
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
	 * Find the relay of the own group.
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
	 * A view came.
	 * @param sender who sent it
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
	 * A summary came: its sender is a relay.
	 * @param sender who sent it
	 * @param now the time
	 */
	void summaryReceived(String sender, long now) {
		if (this.groupOf.containsKey(sender)) {
			this.summaryReceivedAt.put(sender, now);
		}
	}

	// A relay that was silent for a while wakes up and has no reports: it must hear of
	// the one that stands in for it.
	private List<String> rankedAboveSelf() {
		List<String> own = this.groups.get(this.groupOf.get(this.self.address()));
		return own.subList(0, own.indexOf(this.self.address()));
	}

	// Relays that were out of contact and those that stood in for them would each know
	// only their like.
	private List<String> probeTargets(long now) {
		if (now - this.probedAt < PROBE_INTERVAL_NANOS) {
			return List.of();
		}
		this.probedAt = now;
		return this.groups.values().stream().flatMap((vms) -> vms.stream().limit(PROBED_PER_GROUP)).toList();
	}

	/**
	 * Return the relays that a relay tells its summary: those that were heard lately, now
	 * and then the preferred ones of each group, and of a group without any that was
	 * heard its VMs in turn.
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
