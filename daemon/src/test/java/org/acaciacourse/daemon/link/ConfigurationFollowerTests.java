package org.acaciacourse.daemon.link;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import org.acaciacourse.core.dispatch.EndpointStatus;
import org.acaciacourse.core.manifest.ManifestDocument;
import org.acaciacourse.core.model.Manifest;
import org.acaciacourse.core.route.Fleet;
import org.acaciacourse.daemon.codec.ManifestCodec;
import org.acaciacourse.daemon.control.ControlCluster;
import org.acaciacourse.protocol.generated.PollReply;
import org.acaciacourse.protocol.generated.ReportCrashCommand;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class ConfigurationFollowerTests {

	private final List<Object> events = new ArrayList<>();

	private final ConfigurationFollower follower = new ConfigurationFollower(new RecordingListener());

	private static ManifestDocument document(long number) {
		return ManifestCodec.decode(ControlCluster.manifest(number, "class-" + number));
	}

	private static PollReply reply(ManifestDocument document, long number) {
		return new PollReply().setNumber(number)
			.setDigest(document.digest())
			.setBaseDigest("")
			.setCrashes(List.of())
			.setNotices(List.of())
			.setControls(List.of())
			.setPeers(List.of());
	}

	private static PollReply fullReply(long number) {
		return reply(document(number), number).setSnapshot(ManifestCodec.encode(document(number)));
	}

	private static PollReply deltaReply(long from, long to) {
		return reply(document(to), to).setBaseDigest(document(from).digest())
			.setDelta(ManifestCodec.encode(document(from).deltaTo(document(to))));
	}

	@Nested
	class Numbers {

		@Test
		void neverGoBackwards() {
			// The entry VM polls another control VM that lags behind or was partitioned,
			// and receives an older configuration. It keeps the newer one.
			assertThat(ConfigurationFollowerTests.this.follower.apply(fullReply(8), 0)).isTrue();
			assertThat(ConfigurationFollowerTests.this.follower.apply(fullReply(7), 0)).isTrue();
			assertThat(ConfigurationFollowerTests.this.follower.number()).isEqualTo(8);
			assertThat(ConfigurationFollowerTests.this.events).containsExactly(8L);
		}

	}

	@Nested
	class Gaps {

		@Test
		void deltaFromAnotherBaseRequestsTheFullDocument() {
			// The delta starts from a configuration that the entry VM does not have.
			// Applying it would produce a mixture that no operator submitted.
			ConfigurationFollower follower = ConfigurationFollowerTests.this.follower;
			follower.apply(fullReply(1), 0);
			assertThat(follower.apply(deltaReply(2, 3), 0)).isFalse();
			assertThat(follower.digest()).isEmpty();
			assertThat(follower.number()).isEqualTo(1);
			assertThat(follower.apply(fullReply(3), 0)).isTrue();
			assertThat(follower.apply(deltaReply(3, 4), 0)).isTrue();
			assertThat(follower.digest()).isEqualTo(document(4).digest());
		}

		@Test
		void damagedDocumentIsNotUsed() {
			PollReply damaged = fullReply(2);
			damaged.getSnapshot().put("class added", Map.of("tier", "low"));
			assertThat(ConfigurationFollowerTests.this.follower.apply(damaged, 0)).isFalse();
			assertThat(ConfigurationFollowerTests.this.events).isEmpty();
		}

		// A starting entry VM checks the full document by its checksum, since computing
		// the digest would take too long. Damage must still be detected.
		@Test
		void fullDocumentIsCheckedByChecksumIfPresent() {
			PollReply damaged = fullReply(2).setChecksum(document(2).checksum());
			damaged.getSnapshot().put("class added", Map.of("tier", "low"));
			assertThat(ConfigurationFollowerTests.this.follower.apply(damaged, 0)).isFalse();
			assertThat(ConfigurationFollowerTests.this.events).isEmpty();
			assertThat(
					ConfigurationFollowerTests.this.follower.apply(fullReply(2).setChecksum(document(2).checksum()), 0))
				.isTrue();
			assertThat(ConfigurationFollowerTests.this.follower.apply(deltaReply(2, 3), 0)).isTrue();
			assertThat(ConfigurationFollowerTests.this.follower.digest()).isEqualTo(document(3).digest());
		}

	}

	@Nested
	class Crashes {

		@Test
		void areReportedAndTheRevisionIsKept() {
			PollReply crash = fullReply(1).setCrashes(List.of(new ReportCrashCommand(77, 2))).setCrashRevision(5);
			ConfigurationFollowerTests.this.follower.apply(crash, 0);
			assertThat(ConfigurationFollowerTests.this.events).containsExactly(1L, "77 2");
			assertThat(ConfigurationFollowerTests.this.follower.crashRevision()).isEqualTo(5);
		}

	}

	@Nested
	class EntryCount {

		@Test
		void sameCountIsConfirmedAndMissingCountIsIgnored() {
			ConfigurationFollowerTests.this.follower.apply(fullReply(1).setEntryCount(3), 0);
			ConfigurationFollowerTests.this.follower.apply(fullReply(1).setEntryCount(3), 0);
			ConfigurationFollowerTests.this.follower.apply(fullReply(1).setEntryCount(0), 0);
			ConfigurationFollowerTests.this.follower.apply(fullReply(1).setEntryCount(4), 0);
			assertThat(ConfigurationFollowerTests.this.events)
				.containsExactly(1L, "3 entries", "confirmed", "4 entries")
				.inOrder();
		}

	}

	@Nested
	class FleetOfAReply {

		private static final long ASKED_AT = 1_000_000_000;

		private PollReply fleetReply() {
			return fullReply(1).setFleet(List.of()).setFleetRevision(7);
		}

		// Guards against a list that looks newer than it is.
		@Test
		void wasReadBeforeThePollWasSentByItsAge() {
			ConfigurationFollowerTests.this.follower.apply(fleetReply().setFleetAgeMillis(300), ASKED_AT);
			assertThat(ConfigurationFollowerTests.this.events).containsExactly(1L, OptionalLong.of(700_000_000));
		}

		// Guards against a control VM of an older release whose list is taken for new.
		@Test
		void wasReadAtAnUnknownTimeIfNoAgeIsStated() {
			ConfigurationFollowerTests.this.follower.apply(fleetReply(), ASKED_AT);
			assertThat(ConfigurationFollowerTests.this.events).containsExactly(1L, OptionalLong.empty());
		}

	}

	/** Records the calls to a listener. */
	@Nested
	class Controls {

		// Guards against control VMs that were replaced and that are told no origins of
		// streams any more, and against streams that were taken up before there was a
		// configuration and that nobody is asked about.
		@Test
		void areToldWheneverTheyHaveChanged() {
			ConfigurationFollower follower = ConfigurationFollowerTests.this.follower;
			follower.apply(fullReply(1).setControls(List.of("a:1", "b:1")), 0);
			follower.apply(fullReply(1).setControls(List.of("a:1", "b:1")), 0);
			follower.apply(fullReply(1), 0);
			follower.apply(fullReply(1).setControls(List.of("b:1", "c:1")), 0);
			assertThat(ConfigurationFollowerTests.this.events)
				.containsExactly(List.of("a:1", "b:1"), 1L, List.of("b:1", "c:1"))
				.inOrder();
		}

	}

	private final class RecordingListener implements ControlLink.Listener {

		@Override
		public void manifestChanged(Manifest manifest) {
			ConfigurationFollowerTests.this.events.add(manifest.number());
		}

		@Override
		public void fleetReceived(Fleet fleet, OptionalLong readAt) {
			ConfigurationFollowerTests.this.events.add(readAt);
		}

		@Override
		public void upToDate() {
		}

		@Override
		public void controlsReceived(List<String> addresses) {
			ConfigurationFollowerTests.this.events.add(addresses);
		}

		@Override
		public void endpointStatusChanged(String endpoint, EndpointStatus status) {
		}

		@Override
		public void crashReported(long contentHash, int crashes) {
			ConfigurationFollowerTests.this.events.add(contentHash + " " + crashes);
		}

		@Override
		public void entryCountChanged(int count) {
			ConfigurationFollowerTests.this.events.add(count + " entries");
		}

		@Override
		public void entryCountConfirmed() {
			ConfigurationFollowerTests.this.events.add("confirmed");
		}

	}

}
