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
final class RelayChoice {

	/** Bounds what a relay receives and sends. */
	static final int MOST_IN_GROUP = 24;

	/**
	 * How long a relay may be silent to those that report to it: three views.
	 */
	static final long SILENT_NANOS = 600_000_000L;

	/** How long a silent relay is passed over: longer than most VMs are frozen. */
	static final long PASSED_OVER_NANOS = 3_000_000_000L;

	private static final long PROBE_NANOS = 500_000_000L;

	/** The preferred relay of a group and the one that stands in for it. */
	private static final int PROBED = 2;

	private static final LongHashFunction HASH = LongHashFunction.xx3();

	private final LoadPeer self;

	/** The VMs of each group, the preferred relay first. */
	private Map<String, List<String>> groups = Map.of();

	private Map<String, String> groupOf = Map.of();

	private final Map<String, Long> passedOverUntil = new HashMap<>();

	private final Map<String, Long> heardAt = new HashMap<>();

	/** Since when no relay of a group was heard. */
	private final Map<String, Long> missingSince = new HashMap<>();

	private long probedAt;

	private String asked = "";

	private long answeredAt;

	RelayChoice(LoadPeer self) {
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
			int parts = (vms.size() + MOST_IN_GROUP - 1) / MOST_IN_GROUP;
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
		this.heardAt.keySet().retainAll(names.keySet());
		this.missingSince.keySet().retainAll(next.keySet());
		this.passedOverUntil.keySet().retainAll(names.keySet());
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
			if (this.passedOverUntil.getOrDefault(vm, now) <= now && isAnswering(vm, now)) {
				return Optional.of(vm);
			}
		}
		return Optional.empty();
	}

	private boolean isAnswering(String vm, long now) {
		if (!this.asked.equals(vm)) {
			this.asked = vm;
			this.answeredAt = now;
		}
		if (now - this.answeredAt <= SILENT_NANOS) {
			return true;
		}
		this.passedOverUntil.put(vm, now + PASSED_OVER_NANOS);
		this.asked = "";
		return false;
	}

	/**
	 * A view came.
	 * @param sender who sent it
	 * @param now the time
	 * @return whether the sender is the relay that this VM reports to
	 */
	boolean answered(String sender, long now) {
		if (!this.asked.equals(sender)) {
			return false;
		}
		this.answeredAt = now;
		return true;
	}

	/**
	 * A summary came: its sender is a relay.
	 * @param sender who sent it
	 * @param now the time
	 */
	void summedUp(String sender, long now) {
		if (this.groupOf.containsKey(sender)) {
			this.heardAt.put(sender, now);
		}
	}

	// A relay that was silent for a while wakes up and has no reports: it must hear of
	// the one that stands in for it.
	private List<String> preferredToSelf() {
		List<String> own = this.groups.get(this.groupOf.get(this.self.address()));
		return own.subList(0, own.indexOf(this.self.address()));
	}

	// Relays that were out of contact and those that stood in for them would each know
	// only their like.
	private List<String> probed(long now) {
		if (now - this.probedAt < PROBE_NANOS) {
			return List.of();
		}
		this.probedAt = now;
		return this.groups.values().stream().flatMap((vms) -> vms.stream().limit(PROBED)).toList();
	}

	/**
	 * Return the relays that a relay tells its summary: those that were heard lately, now
	 * and then the preferred ones of each group, and of a group without any that was
	 * heard its VMs in turn.
	 * @param now the time
	 * @return their addresses
	 */
	List<String> others(long now) {
		this.heardAt.values().removeIf((at) -> now - at > PeerLoads.SILENT_NANOS);
		Set<String> others = new LinkedHashSet<>(this.heardAt.keySet());
		others.addAll(preferredToSelf());
		others.addAll(probed(now));
		Set<String> heard = this.heardAt.keySet().stream().map(this.groupOf::get).collect(Collectors.toSet());
		String own = this.groupOf.get(this.self.address());
		this.groups.forEach((name, vms) -> {
			if (heard.contains(name) || name.equals(own)) {
				this.missingSince.remove(name);
			}
			else {
				long since = this.missingSince.computeIfAbsent(name, (missing) -> now);
				others.add(vms.get((int) ((now - since) / SILENT_NANOS % vms.size())));
			}
		});
		others.remove(this.self.address());
		return List.copyOf(others);
	}

}
