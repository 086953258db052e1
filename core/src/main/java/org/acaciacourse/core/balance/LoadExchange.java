package org.acaciacourse.core.balance;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;

import org.acaciacourse.core.crash.FeatureFact;
import org.acaciacourse.core.share.CustomerShares;

/**
 * Decides which load digests an entry VM sends to the others. A few VMs send digests to
 * each other directly. With more of them each reports to the relay of its group
 * ({@link RelaySelector}), which aggregates the reports, exchanges summaries with the
 * other relays and sends its group a view of the load of all VMs. Each VM then sends and
 * receives a bounded number of digests per second, and a view is some tenths of a second
 * old, whatever the number of VMs.
 * <p>
 * All state is soft. If a relay fails, the view of its group grows older for less than
 * {@link PeerLoads#EXPIRY_NANOS}, and then the next relay takes over.
 * <p>
 * Invariant: the load of this VM itself is never part of the load of the others in
 * {@link PeerLoads}.
 * <p>
 * Not thread safe: belongs to one event loop.
 */
public final class LoadExchange {

	/**
	 * Bounds the digests that a VM receives per second from direct peers: each costs one
	 * wake-up and one read, whatever their number.
	 */
	private static final int MAX_RECEIVED_PER_SECOND = 100;

	/**
	 * Prefilling a prompt takes some hundred milliseconds: a shorter interval adds little
	 * information.
	 */
	private static final long MIN_INTERVAL_MILLIS = 60;

	private static final long RELAYED_INTERVAL_MILLIS = 100;

	/** The longest interval between two digests of a VM whose load does not change. */
	private static final long MAX_INTERVAL_NANOS = 500_000_000L;

	/** The same for a relay. Its group switches to another relay if it is silent. */
	private static final long MAX_RELAY_INTERVAL_NANOS = 200_000_000L;

	/** Reports that may be in transit or included in the sums of a relay. */
	private static final int MAX_KEPT_REPORTS = 32;

	private static final int USE_DIGESTS = 2;

	/** More than a group of VMs produces between two digests. */
	private static final int MAX_PENDING_USES = 300;

	/** With one datagram in ten lost, one fact in ten thousand is. */
	private static final int FACT_DIGESTS = 4;

	/** More features than requests have on some ten endpoints that crash together. */
	private static final int MAX_PENDING_FACTS = 300;

	private final LoadPeer self;

	private final PeerLoads loads;

	private final RelaySelector relaySelector;

	private final Map<String, Report> groupReports = new LinkedHashMap<>();

	private final Map<Long, List<PeerLoads.Load>> sentReports = new LinkedHashMap<>() {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, List<PeerLoads.Load>> eldest) {
			return size() > MAX_KEPT_REPORTS;
		}

	};

	private final Announcements<PartUse> groupUses = new Announcements<>(USE_DIGESTS, MAX_PENDING_USES);

	private final Announcements<PartUse> allUses = new Announcements<>(USE_DIGESTS, MAX_PENDING_USES);

	private final Announcements<SeenFact> groupFacts = new Announcements<>(FACT_DIGESTS, MAX_PENDING_FACTS);

	private final Announcements<SeenFact> allFacts = new Announcements<>(FACT_DIGESTS, MAX_PENDING_FACTS);

	private int maxDirectPeers = (int) RoutingParameter.MOST_DIRECT_PEERS.defaultValue();

	private List<String> peers = List.of();

	private Optional<String> relay = Optional.empty();

	private List<PeerLoads.Load> lastSent = List.of();

	private CustomerShares customers = new CustomerShares();

	private List<RateLimits.Statement> limits = List.of();

	private List<RateLimits.Statement> sentLimits = List.of();

	private long lastSentAt;

	private long sequence;

	/**
	 * Make an exchange.
	 * @param self this VM
	 * @param loads receives the loads of the other VMs
	 * @param sequence the sequence number of the last digest, higher than before a
	 * restart
	 * @param now the time
	 */
	public LoadExchange(LoadPeer self, PeerLoads loads, long sequence, long now) {
		this.self = self;
		this.loads = loads;
		this.relaySelector = new RelaySelector(self);
		this.sequence = sequence;
		this.lastSentAt = now;
	}

	/**
	 * Set the VMs that take part.
	 * @param next the live VMs, with or without this one
	 */
	public void peers(List<LoadPeer> next) {
		this.peers = next.stream().map(LoadPeer::address).filter((peer) -> !peer.equals(this.self.address())).toList();
		this.relaySelector.peers(next);
	}

	/**
	 * Set up to how many peers VMs send digests directly; with more they report to
	 * relays.
	 * @param max the number of peers
	 */
	public void maxDirectPeers(int max) {
		this.maxDirectPeers = max;
	}

	/**
	 * Set the work of customers, which is told and received with the loads.
	 * @param next the work
	 */
	public void customers(CustomerShares next) {
		this.customers = next;
	}

	private boolean isRelayed() {
		return this.peers.size() > this.maxDirectPeers;
	}

	/**
	 * Return the VM that aggregates the load of this one.
	 * @return the address of its relay, its own if it is one itself, nothing while VMs
	 * send digests directly
	 */
	public Optional<String> relay() {
		return this.relay;
	}

	/**
	 * Return the time until the next call of {@link #tick}.
	 * @return the time in milliseconds
	 */
	public long intervalMillis() {
		return (isRelayed()) ? RELAYED_INTERVAL_MILLIS
				: Math.max(MIN_INTERVAL_MILLIS, 1_000L * this.peers.size() / MAX_RECEIVED_PER_SECOND);
	}

	/**
	 * Have facts about features of requests sent with the next digests.
	 * @param facts the facts that this VM has seen
	 * @param now the time
	 */
	public void announce(List<FeatureFact> facts, long now) {
		List<SeenFact> seen = seen(facts, now);
		this.groupFacts.add(seen);
		if (isRelayed()) {
			this.allFacts.add(seen);
		}
	}

	private static List<SeenFact> seen(List<FeatureFact> facts, long now) {
		return facts.stream().map((fact) -> new SeenFact(fact, now)).toList();
	}

	private static List<FeatureFact> forNextDigest(Announcements<SeenFact> facts, long now) {
		return facts.forNextDigest().stream().map((seen) -> seen.aged(now)).toList();
	}

	/**
	 * Set the limits that endpoints state; call before each {@link #tick}.
	 * @param statements the recent statements that this VM knows
	 */
	public void limits(List<RateLimits.Statement> statements) {
		this.limits = List.copyOf(statements);
	}

	/**
	 * Determine the digests to send now.
	 * @param own the load of this VM
	 * @param uses the uses of prompt parts since the last call
	 * @param now the time
	 * @return the digests with their receivers
	 */
	public List<Outgoing> tick(List<PeerLoads.Load> own, List<PartUse> uses, long now) {
		expireSilent(now);
		this.groupUses.add(uses);
		if (this.peers.isEmpty()) {
			return List.of();
		}
		if (!isRelayed()) {
			this.relay = Optional.empty();
			return broadcast(own, now);
		}
		Optional<String> other = this.relaySelector.relay(now).filter((vm) -> this.groupReports.isEmpty());
		switchRelay(other.orElse(this.self.address()), now);
		if (other.isPresent()) {
			return report(own, other.get(), now);
		}
		this.allUses.add(uses);
		return aggregate(own, now);
	}

	// The new relay has no report of this VM yet, so the next one is due immediately.
	private void switchRelay(String next, long now) {
		if (!this.relay.equals(Optional.of(next))) {
			this.relay = Optional.of(next);
			this.lastSentAt = now - MAX_INTERVAL_NANOS;
		}
	}

	private void expireSilent(long now) {
		this.loads.expireSilent(now);
		this.groupReports.values().removeIf((report) -> now - report.at() > PeerLoads.EXPIRY_NANOS);
	}

	private boolean isDue(List<PeerLoads.Load> next, long maxInterval, long now) {
		boolean factsLeft = this.groupFacts.isAnyLeft() || this.allFacts.isAnyLeft();
		if (!factsLeft && !isLimitChanged() && next.equals(this.lastSent) && now - this.lastSentAt < maxInterval) {
			return false;
		}
		this.lastSent = next;
		this.sentLimits = this.limits;
		this.lastSentAt = now;
		this.sequence++;
		return true;
	}

	private boolean isLimitChanged() {
		return this.limits.size() != this.sentLimits.size() || IntStream.range(0, this.limits.size())
			.anyMatch((i) -> !this.limits.get(i).isSameLimit(this.sentLimits.get(i)));
	}

	private List<Outgoing> broadcast(List<PeerLoads.Load> own, long now) {
		if (!isDue(own, MAX_INTERVAL_NANOS, now)) {
			return List.of();
		}
		// A single datagram, as it goes to all peers.
		List<PartUse> uses = this.groupUses.forNextDigest().stream().limit(LoadDigest.MAX_USES_PER_PART).toList();
		return send(LoadDigest.of(LoadDigest.Kind.SUMMARY, this.sequence, 1, own, uses)
			.withFacts(forNextDigest(this.groupFacts, now))
			.withCustomers(this.customers.own(now))
			.withSpeeds(this.loads.speeds().ownNews(now)), this.peers);
	}

	private List<Outgoing> report(List<PeerLoads.Load> own, String relay, long now) {
		if (!isDue(own, MAX_INTERVAL_NANOS, now)) {
			return List.of();
		}
		this.sentReports.put(this.sequence, own);
		return send(LoadDigest.of(LoadDigest.Kind.REPORT, this.sequence, 1, own, this.groupUses.forNextDigest())
			.withFacts(forNextDigest(this.groupFacts, now))
			.withCustomers(this.customers.report(this.sequence, now))
			.withSpeeds(this.loads.speeds().ownNews(now)), List.of(relay));
	}

	private List<Outgoing> aggregate(List<PeerLoads.Load> own, long now) {
		this.loads.dropView();
		this.customers.dropView();
		LoadSums allSums = new LoadSums();
		allSums.add(own);
		allSums.add(this.loads.all());
		List<PeerLoads.Load> all = allSums.all();
		if (!isDue(all, MAX_RELAY_INTERVAL_NANOS, now)) {
			return List.of();
		}
		LoadSums groupSums = new LoadSums();
		groupSums.add(own);
		Map<Integer, Long> acknowledged = new LinkedHashMap<>();
		this.groupReports.forEach((vm, report) -> {
			groupSums.add(report.loads());
			acknowledged.put(idOf(vm), report.sequence());
		});
		int vms = this.groupReports.size() + 1;
		LoadDigest summary = LoadDigest
			.of(LoadDigest.Kind.SUMMARY, this.sequence, vms, groupSums.all(), this.groupUses.forNextDigest())
			.withFacts(forNextDigest(this.groupFacts, now))
			.withCustomers(this.customers.group(this.groupReports.keySet(), now))
			.withSpeeds(this.loads.speeds().groupNews(now));
		List<Outgoing> messages = new ArrayList<>(send(summary, this.relaySelector.summaryReceivers(now)));
		LoadDigest view = LoadDigest
			.of(LoadDigest.Kind.VIEW, this.sequence, this.loads.peerCount() + 1, all, this.allUses.forNextDigest())
			.withCustomers(this.customers.all(now))
			.withSpeeds(this.loads.speeds().allNews(now));
		messages.addAll(send(view.withAcknowledged(acknowledged).withFacts(forNextDigest(this.allFacts, now)),
				List.copyOf(this.groupReports.keySet())));
		return messages;
	}

	private List<Outgoing> send(LoadDigest digest, List<String> receivers) {
		if (receivers.isEmpty()) {
			return List.of();
		}
		return digest.withLimits(this.limits).split().stream().map((part) -> new Outgoing(part, receivers)).toList();
	}

	/**
	 * Process a received digest.
	 * @param sender the address of its sender
	 * @param digest the digest
	 * @param now the time
	 * @return whether it was used; one that is outdated, a duplicate or not for this VM
	 * is not
	 */
	public boolean receive(String sender, LoadDigest digest, long now) {
		return switch (digest.kind()) {
			case SUMMARY -> receiveSummary(sender, digest, now);
			case REPORT -> receiveReport(sender, digest, now);
			case VIEW -> receiveView(sender, digest, now);
		};
	}

	private boolean receiveSummary(String sender, LoadDigest digest, long now) {
		this.relaySelector.summaryReceived(sender, now);
		this.loads.speeds().receive(sender, digest.sequence(), false, digest.speeds(), now);
		this.allUses.add(digest.uses());
		if (isRelayed()) {
			this.allFacts.add(seen(digest.facts(), now));
		}
		return this.loads.receive(sender, digest, now) && receiveCustomers(sender, digest, now);
	}

	private boolean receiveCustomers(String sender, LoadDigest digest, long now) {
		this.customers.receive(sender, digest.part(), digest.parts(), digest.customers(), now);
		return true;
	}

	private boolean receiveReport(String sender, LoadDigest digest, long now) {
		if (!this.loads.receive(sender, digest, now)) {
			return false;
		}
		this.loads.speeds().receive(sender, digest.sequence(), true, digest.speeds(), now);
		receiveCustomers(sender, digest, now);
		this.groupUses.add(digest.uses());
		this.allUses.add(digest.uses());
		this.groupFacts.add(seen(digest.facts(), now));
		this.allFacts.add(seen(digest.facts(), now));
		this.groupReports.put(sender, new Report(digest.sequence(), digest.loads(), now));
		return true;
	}

	private boolean receiveView(String sender, LoadDigest digest, long now) {
		if (!this.relaySelector.viewReceived(sender, now)) {
			return false;
		}
		this.loads.speeds().receiveView(digest.sequence(), digest.speeds(), now);
		Long acknowledged = digest.acknowledged().get(idOf(this.self.address()));
		List<PeerLoads.Load> own = (acknowledged != null) ? this.sentReports.getOrDefault(acknowledged, List.of())
				: List.of();
		if (!this.loads.receiveView(sender, digest, own, now)) {
			return false;
		}
		this.customers.receiveView(sender, digest.part(), digest.parts(), digest.customers(),
				(acknowledged != null) ? acknowledged : -1, now);
		return true;
	}

	private static int idOf(String vm) {
		return PeerLoads.idOf(vm);
	}

	/**
	 * A digest to send.
	 *
	 * @param digest the digest
	 * @param receivers the addresses that it is sent to
	 */
	public record Outgoing(LoadDigest digest, List<String> receivers) {
	}

	private record Report(long sequence, List<PeerLoads.Load> loads, long at) {
	}

	/** A fact and when this VM learnt it. Two are equal if they tell the same. */
	private record SeenFact(FeatureFact fact, long at) {

		private FeatureFact aged(long now) {
			return this.fact.aged((now - this.at) / 1_000_000L);
		}

		@Override
		public boolean equals(Object other) {
			return this == other || (other instanceof SeenFact that && this.fact.isSameAs(that.fact));
		}

		@Override
		public int hashCode() {
			return this.fact.hashCode();
		}

	}

}
