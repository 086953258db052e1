package org.acaciacourse.daemon.codec;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.acaciacourse.core.route.Fleet;
import org.acaciacourse.core.route.FleetEndpoint;
import org.acaciacourse.protocol.generated.FleetRecord;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class FleetCodecTests {

	@Test
	void fleetSurvivesARoundTrip() {
		Fleet fleet = Fleet.of(List.of(new FleetEndpoint("a", "pool", "10.0.0.1:80", "dc", 4, true, Optional.of("v1")),
				new FleetEndpoint("b", "pool", "10.0.0.2:80", "dc", 4, false), new FleetEndpoint("c", "pool",
						"10.0.0.3:80", "dc", 4, false, Optional.empty(), OptionalLong.of(1_700_000_000_123L))));
		assertThat(FleetCodec.decode(FleetCodec.encode(fleet))).isEqualTo(fleet.endpoints());
	}

	// Guards against versions that are guessed for a control VM of the previous release.
	@Test
	void endpointOfThePreviousReleaseHasNoVersion() {
		FleetRecord record = new FleetRecord("a", "pool", "10.0.0.1:80", "dc", 4, false);
		assertThat(FleetCodec.decode(List.of(record)).get(0).version()).isEqualTo(Optional.empty());
	}

	// Otherwise, the entry VMs would not be told of a start.
	@Test
	void fleetsThatDifferInAStartHaveOtherRevisions() {
		FleetEndpoint first = new FleetEndpoint("a", "pool", "10.0.0.1:80", "dc", 4, false, Optional.empty(),
				OptionalLong.of(1));
		FleetEndpoint second = new FleetEndpoint("a", "pool", "10.0.0.1:80", "dc", 4, false, Optional.empty(),
				OptionalLong.of(2));
		assertThat(Fleet.of(List.of(first)).revision()).isNotEqualTo(Fleet.of(List.of(second)).revision());
	}

	@Test
	void fleetsThatDifferInAVersionHaveOtherRevisions() {
		FleetEndpoint first = new FleetEndpoint("a", "pool", "10.0.0.1:80", "dc", 4, false, Optional.of("v1"));
		FleetEndpoint second = new FleetEndpoint("a", "pool", "10.0.0.1:80", "dc", 4, false, Optional.of("v2"));
		assertThat(Fleet.of(List.of(first)).revision()).isNotEqualTo(Fleet.of(List.of(second)).revision());
	}

}
