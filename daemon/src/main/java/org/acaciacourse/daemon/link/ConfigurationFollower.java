package org.acaciacourse.daemon.link;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import io.vavr.control.Either;
import org.acaciacourse.core.dispatch.EndpointStatus;
import org.acaciacourse.core.ini.Problem;
import org.acaciacourse.core.manifest.ManifestDocument;
import org.acaciacourse.core.manifest.ManifestParser;
import org.acaciacourse.core.route.Fleet;
import org.acaciacourse.core.route.RouteTableParser;
import org.acaciacourse.daemon.codec.FleetAge;
import org.acaciacourse.daemon.codec.FleetCodec;
import org.acaciacourse.daemon.codec.LoadPeersCodec;
import org.acaciacourse.daemon.codec.ManifestCodec;
import org.acaciacourse.protocol.generated.EndpointNotice;
import org.acaciacourse.protocol.generated.PollReply;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The configuration of an entry VM, built from poll replies.
 * <p>
 * Invariants: the number only grows; a document is accepted only if its digest matches
 * the one reported with its number, so that a delta applied to a wrong base is detected
 * and the full document requested. A full document is checked by the control VM's
 * checksum if the reply has one, and its reported digest is then accepted unchecked; the
 * next delta is verified by the digest of the whole resulting document.
 * <p>
 * Not thread safe: used by the polling thread only.
 */
final class ConfigurationFollower {

	private static final Logger LOGGER = LogManager.getLogger(ConfigurationFollower.class);

	private final ControlLink.Listener listener;

	private final Map<String, EndpointStatus> statuses = new HashMap<>();

	private ManifestDocument document = ManifestDocument.empty();

	private long number;

	// Empty until there is a configuration, so that the first one is sent as a full
	// document.
	private String digest = "";

	private boolean fullDocumentNeeded;

	private final RouteTableParser routeTableParser = new RouteTableParser();

	private Fleet fleet = Fleet.NONE;

	private long peersRevision;

	private List<String> controls = List.of();

	private long crashRevision;

	private int entryCount;

	ConfigurationFollower(ControlLink.Listener listener) {
		this.listener = listener;
	}

	long number() {
		return this.number;
	}

	/**
	 * Return the digest to send with a poll.
	 * @return the digest in force, empty to request the full document
	 */
	String digest() {
		return (this.fullDocumentNeeded) ? "" : this.digest;
	}

	long peersRevision() {
		return this.peersRevision;
	}

	long crashRevision() {
		return this.crashRevision;
	}

	/**
	 * Apply a poll reply.
	 * @param reply a successful reply
	 * @param askedAt when the poll was sent
	 * @return whether the configuration in force is at least as new as the reply
	 */
	boolean apply(PollReply reply, long askedAt) {
		// Requests that were held until there is a configuration may ask these VMs.
		applyPeers(reply);
		applyControls(reply);
		if (reply.getNumber() > this.number) {
			applyDocument(reply);
		}
		applyCrashes(reply);
		applyNotices(reply.getNotices());
		applyFleet(reply, askedAt);
		applyEntryCount(reply.getEntryCount());
		return this.number >= reply.getNumber();
	}

	// The count is 0 in a reply that has none.
	private void applyEntryCount(int count) {
		if (count > 0 && count == this.entryCount) {
			this.listener.entryCountConfirmed();
		}
		else if (count > 0) {
			this.entryCount = count;
			this.listener.entryCountChanged(count);
		}
	}

	private void applyPeers(PollReply reply) {
		LoadPeersCodec.read(reply, this.peersRevision).ifPresent((peers) -> {
			this.peersRevision = reply.getPeersRevision();
			this.listener.peersReceived(peers);
		});
	}

	private void applyControls(PollReply reply) {
		List<String> reported = Optional.ofNullable(reply.getControls()).orElse(List.of());
		if (!reported.isEmpty() && !reported.equals(this.controls)) {
			this.controls = List.copyOf(reported);
			this.listener.controlsReceived(this.controls);
		}
	}

	private void applyDocument(PollReply reply) {
		Optional<ManifestDocument> next = documentOf(reply);
		if (next.isEmpty()) {
			LOGGER.warn("update to manifest {} does not apply to the current one, requesting the full document",
					reply.getNumber());
			this.fullDocumentNeeded = true;
			return;
		}
		Optional<Runnable> notification = notificationOf(next.get(), reply.getNumber());
		if (notification.isEmpty()) {
			return;
		}
		this.document = next.get();
		this.number = reply.getNumber();
		this.digest = reply.getDigest();
		this.fullDocumentNeeded = false;
		notification.get().run();
	}

	private Optional<Runnable> notificationOf(ManifestDocument next, long newNumber) {
		Either<List<Problem>, Runnable> notification = (RouteTableParser.isRouting(next))
				? this.routeTableParser.parse(next).map((table) -> () -> this.listener.routesChanged(table))
				: ManifestParser.manifest(next).map((manifest) -> () -> this.listener.manifestChanged(manifest));
		if (notification.isLeft()) {
			LOGGER.error("manifest {} is not valid for this version, keeping the previous one: {}", newNumber,
					notification.getLeft());
		}
		return notification.toJavaOptional();
	}

	private void applyFleet(PollReply reply, long askedAt) {
		if (reply.isSetFleet()) {
			this.fleet = new Fleet(reply.getFleetRevision(), FleetCodec.decode(reply.getFleet()));
		}
		if (reply.getFleetRevision() != 0 && reply.getFleetRevision() == this.fleet.revision()) {
			OptionalLong readAt = (reply.isSetFleetAgeMillis())
					? OptionalLong.of(FleetAge.readAt(reply.getFleetAgeMillis(), askedAt)) : OptionalLong.empty();
			this.listener.fleetReceived(this.fleet, readAt);
		}
	}

	long fleetRevision() {
		return this.fleet.revision();
	}

	private Optional<ManifestDocument> documentOf(PollReply reply) {
		if (reply.isSetSnapshot()) {
			return Optional.of(ManifestCodec.decode(reply.getSnapshot()))
				.filter((document) -> isIntact(document, reply));
		}
		if (reply.isSetDelta() && reply.getBaseDigest().equals(this.digest)) {
			return Optional.of(this.document.with(ManifestCodec.decode(reply.getDelta())))
				.filter((document) -> document.digest().equals(reply.getDigest()));
		}
		return Optional.empty();
	}

	private static boolean isIntact(ManifestDocument document, PollReply reply) {
		return (reply.isSetChecksum()) ? document.checksum() == reply.getChecksum()
				: document.digest().equals(reply.getDigest());
	}

	private void applyCrashes(PollReply reply) {
		reply.getCrashes().forEach((crash) -> this.listener.crashReported(crash.getContentHash(), crash.getCrashes()));
		this.crashRevision = Math.max(this.crashRevision, reply.getCrashRevision());
	}

	private void applyNotices(List<EndpointNotice> notices) {
		Map<String, EndpointStatus> newStatuses = new HashMap<>();
		for (EndpointNotice notice : notices) {
			if (notice.getStatus() >= 0 && notice.getStatus() < EndpointStatus.values().length) {
				newStatuses.put(notice.getEndpoint(), EndpointStatus.values()[notice.getStatus()]);
			}
		}
		Set<String> names = new HashSet<>(this.statuses.keySet());
		names.addAll(newStatuses.keySet());
		for (String name : names) {
			EndpointStatus status = newStatuses.getOrDefault(name, EndpointStatus.LIVE);
			if (status != this.statuses.getOrDefault(name, EndpointStatus.LIVE)) {
				this.listener.endpointStatusChanged(name, status);
			}
		}
		this.statuses.clear();
		this.statuses.putAll(newStatuses);
	}

}
