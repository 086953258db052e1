package org.acaciacourse.core.balance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.IntStream;

import org.acaciacourse.core.share.CustomerKey;
import org.acaciacourse.core.share.CustomerShares;
import org.acaciacourse.core.share.CustomerWork;
import org.acaciacourse.core.share.PoolLoad;
import org.acaciacourse.core.share.PoolShares;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of the exchange between many entry VMs in simulated time, with datagrams that are
 * late, lost or duplicated.
 */
class LoadExchangeTests {

	private static final long MILLI = 1_000_000;

	private static final int ENDPOINTS = 74;

	private static final int DATA_CENTRES = 5;

	private static final int MAX_DIRECT_PEERS = 20;

	/** Longer than the time for a report, a summary and a view in sequence. */
	private static final long SETTLED_MILLIS = 1_000;

	/** The time from the failure of a relay until its group is served by the next one. */
	private static final long FAILOVER_MILLIS = 2_500;

	private static List<PeerLoads.Load> loads(Random random) {
		return random.ints(4, 0, ENDPOINTS)
			.distinct()
			.sorted()
			.mapToObj((endpoint) -> new PeerLoads.Load(endpoint, 1 + random.nextInt(3), random.nextInt(20_000),
					random.nextInt(2)))
			.toList();
	}

	/** All entry VMs and the network between them. */
	private static final class Network {

		private final Random random;

		private final double loss;

		private final List<Vm> vms = new ArrayList<>();

		private final Map<String, Vm> byAddress = new HashMap<>();

		private final PriorityQueue<Packet> inTransit = new PriorityQueue<>(
				(a, b) -> Long.compare(a.arrivesAt(), b.arrivesAt()));

		private long now = 5_000 * MILLI;

		Network(int count, double loss, long seed) {
			this.random = new Random(seed);
			this.loss = loss;
			IntStream.range(0, count).forEach((i) -> this.vms.add(new Vm(i, this.now)));
			this.vms.forEach((vm) -> this.byAddress.put(vm.self.address(), vm));
			updatePeers();
		}

		private void updatePeers() {
			List<LoadPeer> live = this.vms.stream().filter((vm) -> !vm.down).map((vm) -> vm.self).toList();
			this.vms.forEach((vm) -> vm.exchange.peers(live));
		}

		void run(long millis) {
			for (long end = this.now + millis * MILLI; this.now < end; this.now += MILLI) {
				deliver();
				this.vms.stream().filter((vm) -> !vm.down && !vm.frozen && vm.nextTick <= this.now).forEach(this::tick);
			}
		}

		private void tick(Vm vm) {
			vm.nextTick = this.now + vm.exchange.intervalMillis() * MILLI;
			for (LoadExchange.Outgoing message : vm.exchange.tick(vm.own, vm.takeUses(), this.now)) {
				message.receivers().forEach((to) -> send(vm, to, message.digest()));
			}
		}

		private void send(Vm from, String to, LoadDigest digest) {
			from.sent++;
			int copies = (this.random.nextDouble() < this.loss) ? this.random.nextInt(3) : 1;
			for (int i = 0; i < copies; i++) {
				long delay = (copies > 1) ? this.random.nextInt(400) : 1 + this.random.nextInt(3);
				this.inTransit.add(new Packet(from, this.byAddress.get(to), digest, this.now + delay * MILLI));
			}
		}

		private void deliver() {
			while (!this.inTransit.isEmpty() && this.inTransit.peek().arrivesAt() <= this.now) {
				Packet packet = this.inTransit.poll();
				if (!packet.to().down && !packet.to().deaf && !packet.to().frozen) {
					packet.to().received++;
					if (packet.to().exchange.receive(packet.from().self.address(), packet.digest(), this.now)) {
						packet.to().receivedUses.addAll(packet.digest().uses());
					}
				}
			}
		}

		// Asserts that each VM knows exactly the load of all others.
		void assertAllKnown() {
			for (Vm vm : this.vms) {
				if (!vm.down) {
					LoadSums others = new LoadSums();
					this.vms.stream()
						.filter((other) -> other != vm && !other.down)
						.forEach((other) -> others.add(other.own));
					assertThat(vm.loads.all()).isEqualTo(others.all());
				}
			}
		}

		void changeLoads() {
			this.vms.forEach((vm) -> vm.own = loads(this.random));
		}

		double receivedPerSecond(long millis) {
			this.vms.forEach((vm) -> vm.received = 0);
			long end = this.now + millis * MILLI;
			while (this.now < end) {
				changeLoads();
				run(50);
			}
			return this.vms.stream().mapToInt((vm) -> vm.received).average().orElse(0) * 1_000 / millis;
		}

		int mostReceived() {
			return this.vms.stream().mapToInt((vm) -> vm.received).max().orElse(0);
		}

		// The VMs that aggregate a group.
		List<Vm> relays() {
			this.vms.forEach((vm) -> vm.sent = 0);
			run(2_000);
			int usual = this.vms.stream()
				.mapToInt((vm) -> vm.sent)
				.sorted()
				.skip(this.vms.size() / 2)
				.findFirst()
				.orElse(0);
			return this.vms.stream().filter((vm) -> vm.sent > 3 * usual + 3).toList();
		}

	}

	private static final class Vm {

		private final LoadPeer self;

		private final PeerLoads loads = new PeerLoads();

		private final LoadExchange exchange;

		private final CustomerShares customers = new CustomerShares();

		private final PoolShares shares;

		private final List<PartUse> receivedUses = new ArrayList<>();

		private List<PeerLoads.Load> own = List.of();

		private List<PartUse> uses = List.of();

		private long nextTick;

		private int sent;

		private int received;

		private boolean down;

		private boolean frozen;

		private boolean deaf;

		Vm(int index, long now) {
			this.self = new LoadPeer("10.0." + index / 250 + "." + index % 250 + ":1", "dc-" + index % DATA_CENTRES);
			this.exchange = new LoadExchange(this.self, this.loads, now, now);
			this.exchange.maxDirectPeers(MAX_DIRECT_PEERS);
			this.exchange.customers(this.customers);
			this.shares = new PoolShares(this.customers, "llm", () -> new PoolLoad(0, 0, 0, 1, 1), index, now);
			this.nextTick = now + index % 100 * MILLI;
		}

		private void charge(String customer, long work, long now) {
			this.shares.begin(customer, now).placedAtEngine(work, 0, work, now);
		}

		private long knownWork(String customer, long now) {
			int key = CustomerKey.of("llm", customer);
			return this.customers.all(now)
				.largest()
				.stream()
				.filter((told) -> told.key() == key)
				.mapToLong(CustomerWork::work)
				.sum();
		}

		private List<PartUse> takeUses() {
			List<PartUse> taken = this.uses;
			this.uses = List.of();
			return taken;
		}

	}

	private record Packet(Vm from, Vm to, LoadDigest digest, long arrivesAt) {
	}

	@Nested
	class Convergence {

		@Test
		void isReachedSoonAfterAChangeForAnyNumberOfVms() {
			for (int count : new int[] { 2, 9, 21, 22, 40, 95, 380 }) {
				Network network = new Network(count, 0, 7);
				network.changeLoads();
				network.run(SETTLED_MILLIS);
				network.assertAllKnown();
				network.changeLoads();
				network.run(SETTLED_MILLIS);
				network.assertAllKnown();
			}
		}

		@Test
		void isReachedWithLostLateAndDuplicateDatagrams() {
			for (long seed = 1; seed <= 20; seed++) {
				Network network = new Network(95, 0.05, seed);
				for (int i = 0; i < 10; i++) {
					network.changeLoads();
					network.run(100);
				}
				network.run(3 * SETTLED_MILLIS);
				network.assertAllKnown();
			}
		}

		/*
		 * A release or a fault removes entry VMs, and VMs are added. Some VMs then send
		 * digests directly while others report to relays already.
		 */
		@Test
		void isReachedWhenTheNumberOfVmsCrossesTheRelayThreshold() {
			Network network = new Network(26, 0, 7);
			network.changeLoads();
			network.run(SETTLED_MILLIS);
			for (boolean down : new boolean[] { true, false, true, false }) {
				network.vms.stream().skip(18).forEach((vm) -> vm.down = down);
				network.updatePeers();
				network.changeLoads();
				network.run(2 * SETTLED_MILLIS);
				network.assertAllKnown();
			}
		}

		/*
		 * An entry VM had an engine prefill a prompt part. Each VM that does not learn of
		 * it has the part prefilled again at an engine of its own choice.
		 */
		@Test
		void usesOfPartsReachAllVms() {
			for (int count : new int[] { 9, 95, 380 }) {
				Network network = new Network(count, 0, 7);
				network.run(SETTLED_MILLIS);
				PartUse use = new PartUse(5, new PromptShape.Part(77, 13_000));
				network.vms.get(count - 1).uses = List.of(use);
				network.run(SETTLED_MILLIS);
				network.vms.stream().limit(count - 1).forEach((vm) -> assertThat(vm.receivedUses).contains(use));
			}
		}

	}

	/*
	 * The work of a customer of all VMs and of one whose requests arrive at a single VM.
	 * Guards against work that is counted twice, as in the digest of a VM and in a view
	 * that contains it, and against work that is lost on the way.
	 */
	@Nested
	class CustomersWork {

		@Test
		void isKnownToAllVms() {
			for (int count : new int[] { 9, 95 }) {
				Network network = new Network(count, 0, 7);
				for (int i = 0; i < 60; i++) {
					network.vms.forEach((vm) -> vm.charge("everywhere", 1_000, network.now));
					network.vms.get(count - 1).charge("one VM", 50_000, network.now);
					network.changeLoads();
					network.run(100);
				}
				// The work of 100 ms over 2 s; what others told is up to 0.3 s old.
				for (Vm vm : network.vms) {
					assertThat((double) vm.knownWork("everywhere", network.now)).isWithin(0.2 * 19_000 * count)
						.of(18_000 * count);
					assertThat((double) vm.knownWork("one VM", network.now)).isWithin(0.2 * 950_000).of(900_000);
				}
			}
		}

		@Test
		void expiresWithItsVm() {
			for (int count : new int[] { 9, 95 }) {
				Network network = new Network(count, 0, 7);
				network.vms.get(count - 1).charge("one VM", 1_000_000, network.now);
				network.changeLoads();
				network.run(SETTLED_MILLIS);
				assertThat(network.vms.get(0).knownWork("one VM", network.now)).isGreaterThan(0);
				network.vms.get(count - 1).down = true;
				network.updatePeers();
				// A relay drops it after 1.2 s, and its last view takes as long to
				// expire.
				network.run(FAILOVER_MILLIS);
				assertThat(network.vms.get(0).knownWork("one VM", network.now)).isEqualTo(0);
			}
		}

	}

	@Nested
	class Cost {

		/*
		 * When every VM sent digests to every other one, 95 VMs exchanged 9,500 datagrams
		 * a second, for views that were a second old.
		 */
		@Test
		void doesNotGrowWithTheNumberOfVms() {
			Network small = new Network(95, 0, 7);
			Network large = new Network(380, 0, 7);
			assertThat(small.receivedPerSecond(5_000)).isLessThan(60.0);
			assertThat(large.receivedPerSecond(5_000)).isLessThan(60.0);
		}

		@Test
		void ofARelayIsBounded() {
			Network network = new Network(380, 0, 7);
			network.receivedPerSecond(5_000);
			assertThat(network.mostReceived() / 5).isLessThan(1_000);
		}

	}

	@Nested
	class Relays {

		private static Network settled() {
			Network network = new Network(95, 0, 7);
			network.changeLoads();
			network.run(SETTLED_MILLIS);
			return network;
		}

		@Test
		void eachGroupHasOne() {
			Network network = settled();
			assertThat(network.relays()).hasSize(DATA_CENTRES);
		}

		// The relays lose power. The control VM of the platform notices that only after
		// ten seconds.
		@Test
		void nextRelayTakesOverFromALostOne() {
			Network network = settled();
			network.relays().forEach((relay) -> relay.down = true);
			network.run(FAILOVER_MILLIS);
			network.changeLoads();
			network.run(SETTLED_MILLIS);
			network.assertAllKnown();
		}

		/*
		 * A relay sends but does not receive, as with a one-way network failure. Its
		 * messages must not prevent the next relay from taking over.
		 */
		@Test
		void nextRelayTakesOverFromOneThatReceivesNothing() {
			Network network = settled();
			List<Vm> relays = network.relays();
			relays.forEach((relay) -> relay.deaf = true);
			network.run(FAILOVER_MILLIS);
			relays.forEach((relay) -> relay.down = true);
			network.run(FAILOVER_MILLIS);
			network.changeLoads();
			network.run(SETTLED_MILLIS);
			network.assertAllKnown();
		}

		@Test
		void resumedRelayDoesNoHarm() {
			Network network = settled();
			List<Vm> relays = network.relays();
			relays.forEach((relay) -> relay.frozen = true);
			network.run(4_000);
			network.changeLoads();
			relays.forEach((relay) -> relay.frozen = false);
			network.run(FAILOVER_MILLIS);
			network.assertAllKnown();
		}

	}

	@Nested
	class RejectedInput {

		private final PeerLoads loads = new PeerLoads();

		private final LoadExchange exchange = new LoadExchange(new LoadPeer("a:1", "dc"), this.loads, 10, 0);

		private final List<PeerLoads.Load> some = List.of(new PeerLoads.Load(1, 1, 1, 0));

		@Test
		void olderDigestDoesNotReplaceANewerOne() {
			assertThat(this.exchange.receive("b:1", summary(5, this.some), 0)).isTrue();
			assertThat(this.exchange.receive("b:1", summary(5, List.of()), 1)).isFalse();
			assertThat(this.exchange.receive("b:1", summary(4, List.of()), 2)).isFalse();
			assertThat(this.loads.all()).isEqualTo(this.some);
		}

		@Test
		void viewOfAVmThatIsNotTheOwnRelayIsDropped() {
			LoadDigest view = LoadDigest.of(LoadDigest.Kind.VIEW, 5, 9, this.some, List.of());
			assertThat(this.exchange.receive("b:1", view, 0)).isFalse();
			assertThat(this.loads.hasReports()).isFalse();
		}

		private LoadDigest summary(long sequence, List<PeerLoads.Load> loads) {
			return LoadDigest.of(LoadDigest.Kind.SUMMARY, sequence, 1, loads, List.of());
		}

	}

}
