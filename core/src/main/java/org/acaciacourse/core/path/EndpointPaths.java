package org.acaciacourse.core.path;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.acaciacourse.core.balance.LoadPeer;
import org.acaciacourse.core.balance.PeerLoads;
import org.acaciacourse.core.route.FleetEndpoint;

/**
 * Selects the paths over which a connection to an endpoint is tried: directly, or through
 * a tunnel of another entry VM, its peer. A VM that has lost its link to an endpoint
 * can't tell whether the endpoint or the link is at fault, but another VM may still reach
 * it. A needless tunnel costs little, a request that finds no path is lost. So a peer is
 * tried at the first doubt, and the direct path again every second.
 * <p>
 * Invariant: a peer connects directly only, so that no connection passes more than one.
 * <p>
 * Not thread safe: belongs to one event loop.
 */
public final class EndpointPaths {

	/** Bounds the connections that are opened for one request. */
	private static final int MAX_PEERS = 5;

	/** How long a peer that can't help is not asked again. */
	private static final long EXCLUSION_NANOS = 1_000_000_000L;

	/** How long a peer that works is preferred to those that were not tried. */
	private static final long PROVEN_NANOS = 10_000_000_000L;

	private final LoadPeer self;

	private final Function<Optional<String>, PathLinks.Listener> listeners;

	private final PathLinks direct;

	private final Map<String, PathLinks> tunnels = new HashMap<>();

	private final Map<String, Long> excludedUntil = new HashMap<>();

	private List<LoadPeer> peers = List.of();

	/**
	 * Create the paths of a VM.
	 * @param self the VM
	 * @param listeners returns the listener of a path, by its peer
	 */
	public EndpointPaths(LoadPeer self, Function<Optional<String>, PathLinks.Listener> listeners) {
		this.self = self;
		this.listeners = listeners;
		this.direct = new PathLinks(listeners.apply(Optional.empty()));
	}

	/**
	 * Set the VMs that may carry tunnels.
	 * @param next the live entry VMs, with or without this one
	 */
	public void peers(List<LoadPeer> next) {
		this.peers = next.stream().filter((peer) -> !peer.address().equals(this.self.address())).toList();
		Set<String> addresses = this.peers.stream().map(LoadPeer::address).collect(Collectors.toSet());
		this.tunnels.keySet().retainAll(addresses);
		this.excludedUntil.keySet().retainAll(addresses);
	}

	/**
	 * Return whether a VM may carry tunnels.
	 * @param address its address
	 * @return whether it is one of the other entry VMs
	 */
	public boolean isPeer(String address) {
		return this.peers.stream().anyMatch((peer) -> peer.address().equals(address));
	}

	/**
	 * Return the direct links.
	 * @return the links
	 */
	public PathLinks direct() {
		return this.direct;
	}

	/**
	 * Return the links through a peer.
	 * @param peer its address
	 * @return the links
	 */
	public PathLinks through(String peer) {
		return this.tunnels.computeIfAbsent(peer,
				(address) -> new PathLinks(this.listeners.apply(Optional.of(address))));
	}

	/**
	 * Return whether an endpoint is known to be reachable, but not directly. Silence
	 * alone does not tell: an endpoint that is sound may send nothing for a second.
	 * @param endpoint its instance
	 * @param now the time
	 * @return whether a direct connection failed lately and a peer has reached the
	 * endpoint since the direct link was lost
	 */
	public boolean isDirectLinkAtFault(String endpoint, long now) {
		EndpointLink link = this.direct.link(endpoint);
		return !link.mayConnect(now)
				&& this.tunnels.values().stream().anyMatch((links) -> links.isAliveSince(endpoint, link.lostAt()));
	}

	/**
	 * Record that a peer can't be reached or accepts no tunnels.
	 * @param peer its address
	 * @param now the time
	 */
	public void exclude(String peer, long now) {
		this.excludedUntil.put(peer, now + EXCLUSION_NANOS);
	}

	/**
	 * Forget the links to all other endpoints.
	 * @param isInFleet returns whether an instance is still listed
	 */
	public void retain(Predicate<String> isInFleet) {
		this.direct.retain(isInFleet);
		this.tunnels.values().forEach((links) -> links.retain(isInFleet));
	}

	/**
	 * Return the peers for a tunnel to an endpoint, the best one first: those that worked
	 * lately, those that add no traffic between data centres, then the others. Each VM
	 * has an order of its own for each endpoint, so that peers share the work. Peers that
	 * were not tried come from this and other data centres by turns, as most VMs of a
	 * data centre may be cut off together.
	 * @param endpoint the endpoint
	 * @param now the time
	 * @return the addresses of the peers, not more than a request should try
	 */
	public List<String> peersFor(FleetEndpoint endpoint, long now) {
		String prefix = this.self.address() + "/" + endpoint.instance() + "/";
		List<LoadPeer> usable = this.peers.stream()
			.filter((peer) -> isUsable(peer.address(), endpoint.instance(), now))
			.sorted(Comparator.comparingInt((peer) -> PeerLoads.idOf(prefix + peer.address())))
			.toList();
		List<String> result = new ArrayList<>();
		Deque<String> near = new ArrayDeque<>();
		Deque<String> far = new ArrayDeque<>();
		usable.stream().filter((peer) -> isNear(peer, endpoint)).forEach((peer) -> add(peer, result, near, now));
		usable.stream().filter((peer) -> !isNear(peer, endpoint)).forEach((peer) -> add(peer, result, far, now));
		while (!near.isEmpty() || !far.isEmpty()) {
			Optional.ofNullable(near.poll()).ifPresent(result::add);
			Optional.ofNullable(far.poll()).ifPresent(result::add);
		}
		return List.copyOf(result.subList(0, Math.min(MAX_PEERS, result.size())));
	}

	private boolean isUsable(String peer, String endpoint, long now) {
		boolean excluded = this.excludedUntil.getOrDefault(peer, now) > now;
		return !excluded
				&& known(peer).map((links) -> !links.wasLostWithin(endpoint, EXCLUSION_NANOS, now)).orElse(true);
	}

	private boolean isNear(LoadPeer peer, FleetEndpoint endpoint) {
		return peer.dataCentre().equals(this.self.dataCentre()) || peer.dataCentre().equals(endpoint.dataCentre());
	}

	private void add(LoadPeer peer, List<String> proven, Deque<String> untried, long now) {
		boolean worked = known(peer.address()).map((links) -> links.isProven(PROVEN_NANOS, now)).orElse(false);
		((worked) ? proven : untried).add(peer.address());
	}

	private Optional<PathLinks> known(String peer) {
		return Optional.ofNullable(this.tunnels.get(peer));
	}

}
