package org.acaciacourse.core.path;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import org.acaciacourse.core.balance.LoadPeer;
import org.acaciacourse.core.route.FleetEndpoint;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Fleets in virtual time in which some entry VMs reach no endpoint. Each request takes a
 * connection of its own.
 */
class CutFleetTests {

	private static final long MILLI = 1_000_000L;

	private static final long SECOND = 1_000 * MILLI;

	private static final int DATA_CENTRES = 3;

	private static final int ENDPOINTS = 16;

	/** From the start of a cut until its VMs have to serve as well as others. */
	private static final long CONTACT = 3 * SECOND;

	private static final long END = 12 * SECOND;

	/** Between two requests to the same VM. */
	private static final long INTERVAL = 120 * MILLI;

	private final List<EndpointPaths> vms = new ArrayList<>();

	private final List<LoadPeer> peers = new ArrayList<>();

	private final List<FleetEndpoint> endpoints = IntStream.range(0, ENDPOINTS)
		.mapToObj((i) -> new FleetEndpoint("i" + i, "pool", "10.0.0.1:80", "dc" + i % DATA_CENTRES, 8, false))
		.toList();

	private Set<Integer> cut = Set.of();

	private final int[] carried = new int[100];

	// Guards against a search that ends among VMs which are cut off as well.
	@ParameterizedTest
	@CsvSource({ "6, 3, 1", "6, 5, 2", "9, 6, 3", "27, 9, 4", "77, 26, 5", "77, 60, 6", "95, 32, 7", "95, 86, 8" })
	void cutVmsFindAPeer(int vmCount, int cutCount, long seed) {
		start(vmCount);
		cutWholeDataCentresFirst(cutCount);
		double served = servedShare(new Random(seed), 0, CONTACT, END);
		assertThat(served).isAtLeast(2 / 3.0);
	}

	// Guards against VMs that go on asking those which helped before the cut moved there.
	@ParameterizedTest
	@CsvSource({ "6, 3, 1", "9, 4, 2", "77, 30, 3" })
	void cutVmsFindAnotherPeerWhenTheCutMoves(int vmCount, int cutCount, long seed) {
		start(vmCount);
		Random random = new Random(seed);
		for (int i = 0; i < 4; i++) {
			Set<Integer> next = new HashSet<>();
			while (next.size() < cutCount) {
				next.add(random.nextInt(vmCount));
			}
			this.cut = next;
			long begin = i * END;
			assertThat(servedShare(random, begin, begin + CONTACT, begin + END)).isAtLeast(2 / 3.0);
		}
	}

	// Guards against a few VMs that carry the requests of all others.
	@ParameterizedTest
	@CsvSource({ "27, 9, 1", "77, 26, 2" })
	void tunnelsAreSpreadOverThePeers(int vmCount, int cutCount, long seed) {
		start(vmCount);
		cutWholeDataCentresFirst(cutCount);
		servedShare(new Random(seed), 0, CONTACT, END);
		int total = IntStream.of(this.carried).sum();
		int most = IntStream.of(this.carried).max().orElse(0);
		assertThat(most).isAtMost(4 * total / (vmCount - cutCount));
	}

	private void start(int vmCount) {
		for (int i = 0; i < vmCount; i++) {
			this.peers.add(new LoadPeer("vm" + i + ":1", "dc" + i % DATA_CENTRES));
		}
		for (LoadPeer self : this.peers) {
			EndpointPaths paths = new EndpointPaths(self, (peer) -> new SilentListener());
			paths.peers(this.peers);
			this.vms.add(paths);
		}
	}

	private void cutWholeDataCentresFirst(int count) {
		this.cut = new HashSet<>(IntStream.range(0, this.vms.size())
			.boxed()
			.sorted((a, b) -> Integer.compare(a % DATA_CENTRES, b % DATA_CENTRES))
			.limit(count)
			.toList());
	}

	private double servedShare(Random random, long begin, long from, long end) {
		int asked = 0;
		int served = 0;
		for (long now = begin; now < end; now += INTERVAL) {
			for (int vm = 0; vm < this.vms.size(); vm++) {
				boolean ok = connect(vm, this.endpoints.get(random.nextInt(ENDPOINTS)), now);
				if (this.cut.contains(vm) && now >= from) {
					asked++;
					served += (ok) ? 1 : 0;
				}
			}
		}
		return served / (double) asked;
	}

	private boolean connect(int vm, FleetEndpoint endpoint, long now) {
		EndpointPaths paths = this.vms.get(vm);
		if (connectDirectly(vm, endpoint, now)) {
			return true;
		}
		for (String peer : paths.peersFor(endpoint, now)) {
			int other = Integer.parseInt(peer.substring("vm".length(), peer.indexOf(':')));
			EndpointLink link = paths.through(peer).link(endpoint.instance());
			if (connectDirectly(other, endpoint, now)) {
				link.connected(now);
				this.carried[other]++;
				return true;
			}
			link.connectFailed(LinkSign.TIMEOUT, now);
		}
		return false;
	}

	private boolean connectDirectly(int vm, FleetEndpoint endpoint, long now) {
		EndpointLink link = this.vms.get(vm).direct().link(endpoint.instance());
		if (!link.mayConnect(now)) {
			return false;
		}
		if (this.cut.contains(vm)) {
			link.connectFailed(LinkSign.TIMEOUT, now);
			return false;
		}
		link.connected(now);
		return true;
	}

}
