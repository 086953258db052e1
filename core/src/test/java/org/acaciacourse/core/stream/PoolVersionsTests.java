package org.acaciacourse.core.stream;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.acaciacourse.core.route.Fleet;
import org.acaciacourse.core.route.FleetEndpoint;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class PoolVersionsTests {

	private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

	private static final Duration LIFE = Duration.ofSeconds(10);

	private final PoolVersions versions = new PoolVersions();

	private long now = 100 * SECOND;

	private static FleetEndpoint endpoint(String instance, String version) {
		return new FleetEndpoint(instance, "pool", "127.0.0.1:1", "dc", 4, false,
				Optional.of(version).filter((text) -> !text.isEmpty()));
	}

	/** Have a list of endpoints confirmed once a second. */
	private void confirm(int seconds, FleetEndpoint... endpoints) {
		for (int i = 0; i < seconds; i++) {
			this.now += SECOND;
			this.versions.confirmed(Fleet.of(Arrays.asList(endpoints)), OptionalLong.of(this.now), this.now);
		}
	}

	private Optional<String> onlyVersion() {
		return this.versions.onlyVersion("pool", LIFE, this.now, this.now);
	}

	@Nested
	class OnlyVersion {

		@Test
		void isToldOnceTheListHasBeenKnownForLongEnough() {
			assertThat(onlyVersion()).isEqualTo(Optional.empty());
			confirm(10, endpoint("a", "v1"), endpoint("b", "v1"));
			assertThat(onlyVersion()).isEqualTo(Optional.empty());
			confirm(1, endpoint("a", "v1"));
			assertThat(onlyVersion()).isEqualTo(Optional.of("v1"));
			assertThat(PoolVersionsTests.this.versions.onlyVersion("other", LIFE, PoolVersionsTests.this.now,
					PoolVersionsTests.this.now))
				.isEqualTo(Optional.empty());
		}

		// Guards against a stream of a version that is gone and that goes on at the next.
		@Test
		void isNotToldWhileStreamsOfAnotherOneMayLive() {
			confirm(20, endpoint("a", "v1"));
			confirm(5, endpoint("a", "v1"), endpoint("b", "v2"));
			assertThat(onlyVersion()).isEqualTo(Optional.empty());
			confirm(10, endpoint("b", "v2"));
			assertThat(onlyVersion()).isEqualTo(Optional.empty());
			confirm(1, endpoint("b", "v2"));
			assertThat(onlyVersion()).isEqualTo(Optional.of("v2"));
		}

		// Guards against a version that came and went while the list was not heard of.
		@Test
		void isNotToldWhileTheListIsNotConfirmed() {
			confirm(20, endpoint("a", "v1"));
			PoolVersionsTests.this.now += 4 * SECOND;
			assertThat(onlyVersion()).isEqualTo(Optional.empty());
			confirm(10, endpoint("a", "v1"));
			assertThat(onlyVersion()).isEqualTo(Optional.empty());
			confirm(1, endpoint("a", "v1"));
			assertThat(onlyVersion()).isEqualTo(Optional.of("v1"));
		}

		// Guards against a stream of a new version that goes on at the former one at a VM
		// which was out of step and has not seen the new endpoints.
		@Test
		void isNotToldFromAListThatWasReadBeforeTheStreamWasTakenUp() {
			confirm(20, endpoint("a", "v1"));
			long takenUpAt = PoolVersionsTests.this.now + SECOND / 2;
			PoolVersionsTests.this.now += 2 * SECOND;
			assertThat(onlyVersionUntil(takenUpAt)).isEqualTo(Optional.empty());
			confirmAsReadAt(takenUpAt - 1, endpoint("a", "v1"));
			assertThat(onlyVersionUntil(takenUpAt)).isEqualTo(Optional.empty());
			confirmAsReadAt(takenUpAt, endpoint("a", "v1"));
			assertThat(onlyVersionUntil(takenUpAt)).isEqualTo(Optional.of("v1"));
		}

		private Optional<String> onlyVersionUntil(long takenUpAt) {
			return PoolVersionsTests.this.versions.onlyVersion("pool", LIFE, takenUpAt, PoolVersionsTests.this.now);
		}

		private void confirmAsReadAt(long readAt, FleetEndpoint... endpoints) {
			PoolVersionsTests.this.versions.confirmed(Fleet.of(Arrays.asList(endpoints)), OptionalLong.of(readAt),
					PoolVersionsTests.this.now);
		}

		// Guards against a version that came and went while control confirmed a list that
		// it could not read again.
		@Test
		void isNotToldAfterAGapBetweenTwoReads() {
			confirm(20, endpoint("a", "v1"));
			long readAt = PoolVersionsTests.this.now;
			for (int i = 0; i < 4; i++) {
				PoolVersionsTests.this.now += SECOND;
				confirmAsReadAt(readAt, endpoint("a", "v1"));
			}
			confirm(10, endpoint("a", "v1"));
			assertThat(onlyVersion()).isEqualTo(Optional.empty());
			confirm(1, endpoint("a", "v1"));
			assertThat(onlyVersion()).isEqualTo(Optional.of("v1"));
		}

		// Guards against a list of another control VM that lags behind the one before.
		@Test
		void isNotToldFromAListThatIsOlderThanTheOneBefore() {
			confirm(20, endpoint("a", "v1"));
			long takenUpAt = PoolVersionsTests.this.now;
			assertThat(onlyVersionUntil(takenUpAt)).isEqualTo(Optional.of("v1"));
			confirmAsReadAt(takenUpAt - SECOND, endpoint("a", "v1"));
			assertThat(onlyVersionUntil(takenUpAt)).isEqualTo(Optional.empty());
		}

		// Guards against a control VM of an older release, which does not state when it
		// read the list.
		@Test
		void isNotToldIfItIsNotKnownWhenTheListWasRead() {
			for (int i = 0; i < 20; i++) {
				PoolVersionsTests.this.now += SECOND;
				PoolVersionsTests.this.versions.confirmed(Fleet.of(List.of(endpoint("a", "v1"))), OptionalLong.empty(),
						PoolVersionsTests.this.now);
			}
			assertThat(onlyVersion()).isEqualTo(Optional.empty());
			confirm(10, endpoint("a", "v1"));
			assertThat(onlyVersion()).isEqualTo(Optional.empty());
			confirm(1, endpoint("a", "v1"));
			assertThat(onlyVersion()).isEqualTo(Optional.of("v1"));
		}

		@Test
		void isNotToldIfAnEndpointHasNone() {
			confirm(20, endpoint("a", "v1"), endpoint("b", ""));
			assertThat(onlyVersion()).isEqualTo(Optional.empty());
			confirm(20, endpoint("b", ""));
			assertThat(onlyVersion()).isEqualTo(Optional.empty());
		}

	}

	@Nested
	class OfAnEndpoint {

		@Test
		void isThatOfTheListAlsoOnceTheEndpointIsGone() {
			confirm(1, endpoint("a", "v1"));
			assertThat(versionOf(endpoint("a", "v1"))).isEqualTo(Optional.of("v1"));
			confirm(1, endpoint("b", "v1"));
			assertThat(versionOf(endpoint("a", "v1"))).isEqualTo(Optional.of("v1"));
			assertThat(versionOf(endpoint("b", ""))).isEqualTo(Optional.empty());
		}

		private Optional<String> versionOf(FleetEndpoint endpoint) {
			return PoolVersionsTests.this.versions.versionOf(endpoint, PoolVersionsTests.this.now);
		}

		// Guards against an endpoint that starts again under its id with another version.
		@Test
		void isNotToldIfTheListHasStatedAnotherOneSince() {
			confirm(1, endpoint("a", "v2"));
			assertThat(versionOf(endpoint("a", "v1"))).isEqualTo(Optional.empty());
		}

		// Guards against the version of a process before its end.
		@Test
		void isNotToldAShortWhileAfterACrash() {
			confirm(1, endpoint("a", "v1"));
			PoolVersionsTests.this.versions.crashed("a", PoolVersionsTests.this.now);
			assertThat(versionOf(endpoint("a", "v1"))).isEqualTo(Optional.empty());
			confirm(7, endpoint("a", "v1"));
			assertThat(versionOf(endpoint("a", "v1"))).isEqualTo(Optional.of("v1"));
		}

	}

}
