package org.acaciacourse.daemon.codec;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import net.openhft.hashing.LongHashFunction;
import org.acaciacourse.core.balance.LoadPeer;
import org.acaciacourse.protocol.generated.PollReply;
import org.acaciacourse.protocol.generated.PollRequest;

/**
 * The list of entry VMs that exchange their loads, as part of poll replies. It is sent
 * only if it changed, since each entry VM polls about once a second and the list grows
 * with the number of entry VMs.
 * <p>
 * Thread safe: stateless.
 */
public final class LoadPeersCodec {

	private static final LongHashFunction HASH = LongHashFunction.xx3();

	private LoadPeersCodec() {
	}

	/**
	 * Write the peers into a reply.
	 * @param peers the live entry VMs except the one that polls, in a fixed order
	 * @param request the poll request
	 * @param reply the reply
	 */
	public static void write(List<LoadPeer> peers, PollRequest request, PollReply reply) {
		long revision = revision(peers);
		reply.setPeersRevision(revision);
		if (request.isSetPeersRevision() && request.getPeersRevision() == revision) {
			reply.setPeers(List.of());
			return;
		}
		reply.setPeers(peers.stream().map(LoadPeer::address).toList());
		reply.setPeerDataCentres(peers.stream().map(LoadPeer::dataCentre).toList());
	}

	private static long revision(List<LoadPeer> peers) {
		String text = peers.stream()
			.map((peer) -> peer.address() + " " + peer.dataCentre())
			.collect(Collectors.joining("\n"));
		return HASH.hashBytes(text.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Read the peers from a reply. A control VM of an older release sends them in every
	 * reply, without revision and data centres.
	 * @param reply the reply
	 * @param knownRevision the revision that was sent with the poll
	 * @return the peers, or empty if they are the known ones
	 */
	public static Optional<List<LoadPeer>> read(PollReply reply, long knownRevision) {
		if (reply.isSetPeersRevision() && reply.getPeersRevision() == knownRevision) {
			return Optional.empty();
		}
		List<String> addresses = reply.getPeers();
		List<String> dataCentres = (reply.isSetPeerDataCentres()) ? reply.getPeerDataCentres() : List.of();
		return Optional.of(IntStream.range(0, addresses.size())
			.mapToObj((i) -> new LoadPeer(addresses.get(i), (i < dataCentres.size()) ? dataCentres.get(i) : ""))
			.toList());
	}

}
