package org.acaciacourse.core.balance;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides what an entry VM tells the others of the load at the endpoints. A few VMs tell
 * one another. With more of them each reports to the relay of its group
 * ({@link RelayChoice}), which sums the reports up, exchanges sums with the other relays
 * and tells its group what all VMs have under way: each VM then sends and receives a
 * bounded number of digests in a second, and a view is some tenths of a second old,
 * whatever the number of VMs.
 * <p>
 * All state is soft. A relay that fails costs its group an older view for less than
 * {@link PeerLoads#SILENT_NANOS}, and then the next one serves it.
 * <p>
 * Invariant: what this VM has under way itself is never part of what {@link PeerLoads}
 * tells of the others.
 * <p>
 * Not thread safe: belongs to one event loop.
 */
public final class LoadExchange {

	/**
	 * Digests that a VM receives in a second from peers that tell one another: each is
	 * one wake-up and one read, whatever their number.
	 */
	private static final int RECEIVED_PER_SECOND = 100;

	/** A prompt is read in some hundred milliseconds: more often tells little more. */
	private static final long LEAST_PAUSE_MILLIS = 60;

	private static final long RELAYED_PAUSE_MILLIS = 100;

	/** The longest pause between two digests of a VM that has nothing new to tell. */
	private static final long QUIET_NANOS = 500_000_000L;

	/** The same for a relay, whose silence has its group choose another one. */
	private static final long QUIET_RELAY_NANOS = 200_000_000L;

	/** Reports that may be on their way or in the sums of a relay. */
	private static final int REPORTS_KEPT = 32;

	private final LoadPeer self;

	private final PeerLoads loads;

	private final RelayChoice relays;

	private final Map<String, Report> group = new LinkedHashMap<>();

	private final Map<Long, List<PeerLoads.Load>> reported = new LinkedHashMap<>() {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, List<PeerLoads.Load>> eldest) {
			return size() > REPORTS_KEPT;
		}

	};

	private final ToldTwice usesOfGroup = new ToldTwice();

	private final ToldTwice usesOfAll = new ToldTwice();

	private int mostDirect = (int) RoutingParameter.MOST_DIRECT_PEERS.defaultValue();

	private List<String> peers = List.of();

	private Optional<String> relay = Optional.empty();

	private List<PeerLoads.Load> told = List.of();

	private long toldAt;

	private long sequence;

	/**
	 * Make an exchange.
	 * @param self this VM
	 * @param loads takes what the others tell
	 * @param sequence the number of the last digest, above those of earlier lives
	 * @param now the time
	 */
	public LoadExchange(LoadPeer self, PeerLoads loads, long sequence, long now) {
		this.self = self;
		this.loads = loads;
		this.relays = new RelayChoice(self);
		this.sequence = sequence;
		this.toldAt = now;
	}

	/**
	 * Set which VMs take part.
	 * @param next the live VMs, with or without this one
	 */
	public void peers(List<LoadPeer> next) {
		this.peers = next.stream().map(LoadPeer::address).filter((peer) -> !peer.equals(this.self.address())).toList();
		this.relays.peers(next);
	}

	/**
	 * Set with how many peers VMs tell one another; with more they report to relays.
	 * @param most the number of peers
	 */
	public void mostDirect(int most) {
		this.mostDirect = most;
	}

	private boolean isRelayed() {
		return this.peers.size() > this.mostDirect;
	}

	/**
	 * Return who sums up what this VM has under way.
	 * @return the address of its relay, its own if it is one, nothing while VMs tell one
	 * another
	 */
	public Optional<String> relay() {
		return this.relay;
	}

	/**
	 * Return the pause until the next call of {@link #tick}.
	 * @return the pause in milliseconds
	 */
	public long pauseMillis() {
		return (isRelayed()) ? RELAYED_PAUSE_MILLIS
				: Math.max(LEAST_PAUSE_MILLIS, 1_000L * this.peers.size() / RECEIVED_PER_SECOND);
	}

	/**
	 * Decide what is sent now.
	 * @param own what this VM has under way
	 * @param uses the uses of prompt parts since the last call
	 * @param now the time
	 * @return the digests with their receivers
	 */
	public List<Outgoing> tick(List<PeerLoads.Load> own, List<PartUse> uses, long now) {
		forgetSilent(now);
		this.usesOfGroup.add(uses);
		if (this.peers.isEmpty()) {
			return List.of();
		}
		if (!isRelayed()) {
			this.relay = Optional.empty();
			return tellAll(own, now);
		}
		Optional<String> other = this.relays.relay(now).filter((vm) -> this.group.isEmpty());
		follow(other.orElse(this.self.address()), now);
		if (other.isPresent()) {
			return report(own, other.get(), now);
		}
		this.usesOfAll.add(uses);
		return sumUp(own, now);
	}

	// The next relay knows nothing of this VM yet.
	private void follow(String next, long now) {
		if (!this.relay.equals(Optional.of(next))) {
			this.relay = Optional.of(next);
			this.toldAt = now - QUIET_NANOS;
		}
	}

	private void forgetSilent(long now) {
		this.loads.forgetSilent(now);
		this.group.values().removeIf((report) -> now - report.at() > PeerLoads.SILENT_NANOS);
	}

	private boolean isDue(List<PeerLoads.Load> next, long quiet, long now) {
		if (next.equals(this.told) && now - this.toldAt < quiet) {
			return false;
		}
		this.told = next;
		this.toldAt = now;
		this.sequence++;
		return true;
	}

	private List<Outgoing> tellAll(List<PeerLoads.Load> own, long now) {
		if (!isDue(own, QUIET_NANOS, now)) {
			return List.of();
		}
		// One datagram: it goes to all peers.
		List<PartUse> uses = this.usesOfGroup.next().stream().limit(LoadDigest.MAX_USES).toList();
		return send(LoadDigest.of(LoadDigest.Kind.SUMMARY, this.sequence, 1, own, uses), this.peers);
	}

	private List<Outgoing> report(List<PeerLoads.Load> own, String relay, long now) {
		if (!isDue(own, QUIET_NANOS, now)) {
			return List.of();
		}
		this.reported.put(this.sequence, own);
		return send(LoadDigest.of(LoadDigest.Kind.REPORT, this.sequence, 1, own, this.usesOfGroup.next()),
				List.of(relay));
	}

	private List<Outgoing> sumUp(List<PeerLoads.Load> own, long now) {
		this.loads.forgetView();
		LoadSums ofAll = new LoadSums();
		ofAll.add(own);
		ofAll.add(this.loads.all());
		List<PeerLoads.Load> all = ofAll.all();
		if (!isDue(all, QUIET_RELAY_NANOS, now)) {
			return List.of();
		}
		LoadSums ofGroup = new LoadSums();
		ofGroup.add(own);
		Map<Integer, Long> heard = new LinkedHashMap<>();
		this.group.forEach((vm, report) -> {
			ofGroup.add(report.loads());
			heard.put(shortName(vm), report.sequence());
		});
		int vms = this.group.size() + 1;
		List<Outgoing> messages = new ArrayList<>(
				send(LoadDigest.of(LoadDigest.Kind.SUMMARY, this.sequence, vms, ofGroup.all(), this.usesOfGroup.next()),
						this.relays.others(now)));
		LoadDigest view = LoadDigest.of(LoadDigest.Kind.VIEW, this.sequence, this.loads.count() + 1, all,
				this.usesOfAll.next());
		messages.addAll(send(view.with(heard), List.copyOf(this.group.keySet())));
		return messages;
	}

	private static List<Outgoing> send(LoadDigest digest, List<String> receivers) {
		if (receivers.isEmpty()) {
			return List.of();
		}
		return digest.split().stream().map((part) -> new Outgoing(part, receivers)).toList();
	}

	/**
	 * Take a digest.
	 * @param sender the address of its sender
	 * @param digest the digest
	 * @param now the time
	 * @return whether it was used; one that is late, doubled or not for this VM is not
	 */
	public boolean take(String sender, LoadDigest digest, long now) {
		return switch (digest.kind()) {
			case SUMMARY -> takeSummary(sender, digest, now);
			case REPORT -> takeReport(sender, digest, now);
			case VIEW -> takeView(sender, digest, now);
		};
	}

	private boolean takeSummary(String sender, LoadDigest digest, long now) {
		this.relays.summedUp(sender, now);
		this.usesOfAll.add(digest.uses());
		return this.loads.take(sender, digest, now);
	}

	private boolean takeReport(String sender, LoadDigest digest, long now) {
		if (!this.loads.take(sender, digest, now)) {
			return false;
		}
		this.usesOfGroup.add(digest.uses());
		this.usesOfAll.add(digest.uses());
		this.group.put(sender, new Report(digest.sequence(), digest.loads(), now));
		return true;
	}

	private boolean takeView(String sender, LoadDigest digest, long now) {
		if (!this.relays.answered(sender, now)) {
			return false;
		}
		Long heard = digest.heard().get(shortName(this.self.address()));
		List<PeerLoads.Load> own = (heard != null) ? this.reported.getOrDefault(heard, List.of()) : List.of();
		return this.loads.takeView(sender, digest, own, now);
	}

	private static int shortName(String vm) {
		return PeerLoads.nameOf(vm);
	}

	/**
	 * A digest to send.
	 *
	 * @param digest the digest
	 * @param receivers the addresses of those that get it
	 */
	public record Outgoing(LoadDigest digest, List<String> receivers) {
	}

	private record Report(long sequence, List<PeerLoads.Load> loads, long at) {
	}

}
