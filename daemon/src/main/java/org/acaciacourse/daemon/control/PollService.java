package org.acaciacourse.daemon.control;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.vavr.control.Either;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.consensus.Member;
import org.acaciacourse.core.manifest.ManifestDelta;
import org.acaciacourse.core.route.Fleet;
import org.acaciacourse.core.state.ControlState;
import org.acaciacourse.daemon.codec.FleetAge;
import org.acaciacourse.daemon.codec.FleetCodec;
import org.acaciacourse.daemon.codec.LoadPeersCodec;
import org.acaciacourse.daemon.codec.ManifestCodec;
import org.acaciacourse.protocol.generated.EndpointNotice;
import org.acaciacourse.protocol.generated.PollReply;
import org.acaciacourse.protocol.generated.PollRequest;
import org.acaciacourse.protocol.generated.ReportCrashCommand;
import org.acaciacourse.protocol.generated.Result;

/**
 * Responds to the long polls of entry VMs, on any replica. A reply contains the delta
 * from the manifest that the entry VM has, or the complete manifest if this replica
 * cannot compute the delta. Every reply contains all notices from the platform's list, so
 * that a lost reply loses nothing.
 * <p>
 * Thread safe.
 */
final class PollService {

	private static final long MAX_WAIT_MILLIS = 8000;

	private final ReplicaLoop loop;

	private final LinearizableRead read;

	private final EntryRegistry registry;

	private final PlatformList platform;

	private final FleetKeeper fleet;

	private final Optional<UsageService> usage;

	/** The revision of {@link ReplicaViewMonitor} at the last reply to each run. */
	private final Map<String, Long> lastRevisions = new LinkedHashMap<>() {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
			return size() > EntryRegistry.MAX_ENTRIES;
		}

	};

	PollService(ReplicaLoop loop, LinearizableRead read, EntryRegistry registry, PlatformList platform,
			FleetKeeper fleet, Optional<UsageService> usage) {
		this.loop = loop;
		this.read = read;
		this.registry = registry;
		this.platform = platform;
		this.fleet = fleet;
		this.usage = usage;
	}

	PollReply poll(PollRequest request) {
		long receivedAt = System.nanoTime();
		this.registry.recordPoll(request, System.currentTimeMillis());
		this.usage.ifPresent((service) -> service.recordPoll(request));
		try {
			if (request.isLatest() && !this.read.await()) {
				return emptyReply(Replies.result(ResultCode.NO_QUORUM));
			}
			if (!request.isLatest()) {
				awaitChange(request);
				// A replica on the minority side of a partition has a stale configuration
				// without noticing it. An entry VM that can reach the other control VMs
				// must not stay with this one.
				if (this.loop.views().latest().status().leader().isEmpty()) {
					return emptyReply(Replies.result(ResultCode.NO_QUORUM));
				}
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return emptyReply(Replies.result(ResultCode.STOPPING));
		}
		this.registry.refreshLastSeen(request.getOwner(), System.currentTimeMillis());
		long revision = this.loop.views().revision();
		Either<ControlException, PollReply> reply = Replies
			.await(this.loop.query((state) -> reply(state, request, receivedAt)));
		synchronized (this.lastRevisions) {
			this.lastRevisions.put(request.getOwner(), revision);
		}
		return reply.getOrElseGet((failure) -> emptyReply(Replies.result(failure)));
	}

	private void awaitChange(PollRequest request) throws InterruptedException {
		long lastRevision;
		synchronized (this.lastRevisions) {
			lastRevision = this.lastRevisions.getOrDefault(request.getOwner(), -1L);
		}
		long wait = Math.min(request.getWaitMillis(), MAX_WAIT_MILLIS);
		ReplicaViewMonitor views = this.loop.views();
		views.await((view) -> view.number() > request.getNumber() || view.crashRevision() > request.getCrashRevision()
				|| views.revision() != lastRevision, wait);
	}

	private PollReply reply(ControlState state, PollRequest request, long receivedAt) {
		PollReply reply = emptyReply(Replies.result(ResultCode.OK)).setNumber(state.manifestNumber())
			.setDigest(state.manifestDigest());
		if (state.manifestNumber() > request.getNumber()) {
			Optional<ManifestDelta> delta = state.deltaFrom(request.getNumber(), request.getDigest());
			delta.ifPresentOrElse((d) -> reply.setDelta(ManifestCodec.encode(d)).setBaseDigest(request.getDigest()),
					() -> reply.setSnapshot(ManifestCodec.encode(state.manifestDocument()))
						.setChecksum(state.manifestDocument().checksum()));
		}
		reply.setCrashRevision(state.statistics().crashRevision());
		reply.setCrashes(state.crashesSince(request.getCrashRevision())
			.stream()
			.map((crash) -> new ReportCrashCommand(crash.contentHash(), crash.crashes()))
			.toList());
		this.usage.ifPresent((service) -> service.writeTo(reply, state.usage().frozenThrough()));
		writeFleet(request, receivedAt, reply);
		reply.setControls(this.loop.views().latest().membership().members().stream().map(Member::address).toList());
		LoadPeersCodec.write(this.registry.loadPeers(request.getOwner(), System.currentTimeMillis()), request, reply);
		List<EndpointNotice> notices = this.platform.notices();
		return reply.setNotices(notices).setEntryCount(this.registry.liveVmCount(System.currentTimeMillis()));
	}

	private void writeFleet(PollRequest request, long receivedAt, PollReply reply) {
		FleetReading reading = this.fleet.currentReading();
		Fleet known = reading.fleet();
		reply.setFleetRevision(known.revision());
		if (known.revision() != 0 && known.revision() != request.getFleetRevision()) {
			reply.setFleet(FleetCodec.encode(known));
		}
		reading.readAt().ifPresent((readAt) -> reply.setFleetAgeMillis(FleetAge.millis(readAt, receivedAt)));
	}

	private static PollReply emptyReply(Result result) {
		return new PollReply().setResult(result)
			.setBaseDigest("")
			.setDigest("")
			.setCrashes(List.of())
			.setNotices(List.of())
			.setControls(List.of())
			.setPeers(List.of());
	}

}
