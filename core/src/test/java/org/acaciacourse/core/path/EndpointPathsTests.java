package org.acaciacourse.core.path;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

import org.acaciacourse.core.balance.LoadPeer;
import org.acaciacourse.core.route.FleetEndpoint;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class EndpointPathsTests {

	private static final long SECOND = 1_000_000_000L;

	private static final LoadPeer SELF = new LoadPeer("self:1", "a");

	private static final FleetEndpoint ENDPOINT = endpoint("i-1", "b");

	private static final FleetEndpoint OTHER = endpoint("i-2", "b");

	private final EndpointPaths paths = new EndpointPaths(SELF, (peer) -> new SilentListener());

	private static FleetEndpoint endpoint(String instance, String dataCentre) {
		return new FleetEndpoint(instance, "pool", "10.0.0.1:80", dataCentre, 8, false);
	}

	private List<String> peersFor(long now) {
		return this.paths.peersFor(ENDPOINT, now);
	}

	private void peers(String... dataCentres) {
		List<LoadPeer> peers = new ArrayList<>(List.of(SELF));
		for (int i = 0; i < dataCentres.length; i++) {
			peers.add(new LoadPeer(dataCentres[i] + i + ":1", dataCentres[i]));
		}
		this.paths.peers(peers);
	}

	@Nested
	class Order {

		@Test
		void ownVmIsNoPeer() {
			peers("a");
			assertThat(peersFor(0)).containsExactly("a0:1");
		}

		// Guards against a search for help among VMs that are cut off together.
		@Test
		void untriedPeersComeFromAllDataCentresByTurns() {
			peers("a", "a", "a", "a", "a", "a", "c", "c");
			assertThat(peersFor(0).subList(0, 4).stream().filter((peer) -> peer.startsWith("c")).count()).isEqualTo(2);
		}

		@Test
		void peerThatWorkedIsPreferred() {
			peers("a", "a", "a", "c", "c", "c");
			EndpointPathsTests.this.paths.through("c4:1").link("i-2").connected(SECOND);
			assertThat(peersFor(2 * SECOND).get(0)).isEqualTo("c4:1");
		}

		@Test
		void ofPeersThatWorkedOneWithoutTrafficBetweenDataCentresIsPreferred() {
			peers("a", "b", "c");
			List.of("a0:1", "b1:1", "c2:1")
				.forEach((peer) -> EndpointPathsTests.this.paths.through(peer).link("i-2").connected(SECOND));
			assertThat(peersFor(2 * SECOND).get(2)).isEqualTo("c2:1");
		}

		@Test
		void endpointsSpreadOverThePeers() {
			peers("a", "a", "a", "a", "a", "a", "a", "a");
			long first = IntStream.range(0, 50)
				.mapToObj((i) -> EndpointPathsTests.this.paths.peersFor(endpoint("i-" + i, "a"), 0).get(0))
				.distinct()
				.count();
			assertThat(first).isAtLeast(6);
		}

	}

	@Nested
	class Exclusion {

		@Test
		void peerThatDoesNotAnswerIsNotAskedForASecond() {
			peers("a", "a");
			EndpointPathsTests.this.paths.exclude("a0:1", SECOND);
			assertThat(peersFor(SECOND + 1)).containsExactly("a1:1");
			assertThat(peersFor(2 * SECOND)).hasSize(2);
		}

		@Test
		void peerThatCannotReachOneEndpointIsAskedForOthers() {
			peers("a");
			EndpointPathsTests.this.paths.through("a0:1").link("i-1").connectFailed(LinkSign.TIMEOUT, SECOND);
			assertThat(peersFor(SECOND + 1)).isEmpty();
			assertThat(EndpointPathsTests.this.paths.peersFor(OTHER, SECOND + 1)).containsExactly("a0:1");
		}

		// Guards against a peer that is cut next and goes on being preferred.
		@Test
		void peerWhoseLinksAreLostTogetherIsNoLongerPreferred() {
			peers("a", "c");
			PathLinks links = EndpointPathsTests.this.paths.through("c1:1");
			links.link("i-2").connected(SECOND);
			links.link("i-3").connected(SECOND);
			links.link("i-2").lost(LinkSign.SILENT, 2 * SECOND);
			links.link("i-3").lost(LinkSign.SILENT, 2 * SECOND);
			EndpointPathsTests.this.paths.through("a0:1").link("i-2").connected(SECOND);
			assertThat(peersFor(2 * SECOND).get(0)).isEqualTo("a0:1");
		}

		@Test
		void vmThatIsGoneIsNoPeer() {
			peers("a", "c");
			EndpointPathsTests.this.paths.peers(List.of(SELF));
			assertThat(peersFor(0)).isEmpty();
			assertThat(EndpointPathsTests.this.paths.isPeer("a0:1")).isFalse();
		}

	}

	@Nested
	class Fault {

		private EndpointLink direct() {
			return EndpointPathsTests.this.paths.direct().link("i-1");
		}

		private boolean isLinkAtFault(long now) {
			return EndpointPathsTests.this.paths.isDirectLinkAtFault("i-1", now);
		}

		// Guards against requests that are moved away from an endpoint which is only
		// slow.
		@Test
		void silenceAloneIsNotBlamedOnTheLink() {
			peers("a");
			EndpointPathsTests.this.paths.through("a0:1").link("i-1").connected(2 * SECOND);
			direct().lost(LinkSign.SILENT, SECOND);
			assertThat(isLinkAtFault(2 * SECOND)).isFalse();
		}

		@Test
		void linkIsAtFaultIfOnlyAPeerReachesTheEndpoint() {
			peers("a");
			direct().connectFailed(LinkSign.TIMEOUT, SECOND);
			assertThat(isLinkAtFault(SECOND + 1)).isFalse();
			EndpointPathsTests.this.paths.through("a0:1").link("i-1").connected(SECOND + 1);
			assertThat(isLinkAtFault(SECOND + 2)).isTrue();
		}

	}

	@Nested
	class Probing {

		// Guards against connects that hang one after the other while a link is cut.
		@Test
		void newConnectionsAreTriedAgainAfterASecond() {
			EndpointLink link = EndpointPathsTests.this.paths.direct().link("i-1");
			link.connectFailed(LinkSign.TIMEOUT, SECOND);
			assertThat(link.mayConnect(SECOND + 1)).isFalse();
			assertThat(link.mayConnect(2 * SECOND)).isTrue();
		}

		@Test
		void openConnectionThatLivesOnDoesNotMakeNewOnesPossible() {
			EndpointLink link = EndpointPathsTests.this.paths.direct().link("i-1");
			link.connectFailed(LinkSign.REFUSED, SECOND);
			link.alive(SECOND + 1);
			assertThat(link.isTrusted()).isTrue();
			assertThat(link.mayConnect(SECOND + 2)).isFalse();
		}

	}

}
