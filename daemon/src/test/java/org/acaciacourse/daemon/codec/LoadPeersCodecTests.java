package org.acaciacourse.daemon.codec;

import java.util.List;
import java.util.Optional;

import org.acaciacourse.core.balance.LoadPeer;
import org.acaciacourse.protocol.generated.PollReply;
import org.acaciacourse.protocol.generated.PollRequest;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class LoadPeersCodecTests {

	private static final List<LoadPeer> PEERS = List.of(new LoadPeer("10.0.0.1:1", "a"),
			new LoadPeer("10.0.0.2:1", "b"));

	private static PollReply replyTo(List<LoadPeer> peers, PollRequest request) {
		PollReply reply = new PollReply();
		LoadPeersCodec.write(peers, request, reply);
		return reply;
	}

	@Test
	void peersAreSentOnceAndAgainAfterAChange() {
		PollReply first = replyTo(PEERS, new PollRequest());
		assertThat(LoadPeersCodec.read(first, 0)).isEqualTo(Optional.of(PEERS));
		PollRequest next = new PollRequest().setPeersRevision(first.getPeersRevision());
		PollReply second = replyTo(PEERS, next);
		assertThat(second.getPeers()).isEmpty();
		assertThat(LoadPeersCodec.read(second, first.getPeersRevision())).isEqualTo(Optional.empty());
		PollReply third = replyTo(PEERS.subList(0, 1), next);
		assertThat(LoadPeersCodec.read(third, first.getPeersRevision())).isEqualTo(Optional.of(PEERS.subList(0, 1)));
	}

	@Test
	void newDataCentreOfAVmChangesTheRevision() {
		long before = replyTo(PEERS, new PollRequest()).getPeersRevision();
		List<LoadPeer> moved = List.of(PEERS.get(0), new LoadPeer("10.0.0.2:1", "c"));
		assertThat(replyTo(moved, new PollRequest()).getPeersRevision()).isNotEqualTo(before);
	}

	// Control VMs are upgraded one by one, and an entry VM may poll any of them.
	@Test
	void controlVmOfThePreviousReleaseSendsAllPeersEachTime() {
		PollReply old = new PollReply().setPeers(List.of("10.0.0.1:1"));
		assertThat(LoadPeersCodec.read(old, 0)).isEqualTo(Optional.of(List.of(new LoadPeer("10.0.0.1:1", ""))));
		assertThat(LoadPeersCodec.read(old, 77)).isEqualTo(Optional.of(List.of(new LoadPeer("10.0.0.1:1", ""))));
	}

}
