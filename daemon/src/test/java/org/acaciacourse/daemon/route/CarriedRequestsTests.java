package org.acaciacourse.daemon.route;

import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of the requests that a connection remembers.
 */
class CarriedRequestsTests {

	private final CarriedRequests carried = new CarriedRequests();

	@Test
	void noRequestIsKnownAtFirst() {
		assertThat(this.carried.contains("one")).isFalse();
		assertThat(this.carried.isReadable("one")).isFalse();
	}

	@Test
	void latestRequestsAreRemembered() {
		for (int i = 0; i <= CarriedRequests.MAX_REMEMBERED; i++) {
			this.carried.add("r" + i, HttpMethod.POST);
		}
		assertThat(this.carried.contains("r0")).isFalse();
		assertThat(this.carried.isReadable("r0")).isFalse();
		for (int i = 1; i <= CarriedRequests.MAX_REMEMBERED; i++) {
			assertThat(this.carried.contains("r" + i)).isTrue();
			assertThat(this.carried.isReadable("r" + i)).isTrue();
		}
		assertThat(this.carried.count()).isEqualTo(CarriedRequests.MAX_REMEMBERED + 1);
	}

	@Test
	void requestWithHeadIsRememberedAndNotReadable() {
		this.carried.add("one", HttpMethod.HEAD);
		assertThat(this.carried.contains("one")).isTrue();
		assertThat(this.carried.isReadable("one")).isFalse();
	}

}
