package org.acaciacourse.core.stream;

import java.util.List;
import java.util.Optional;

import org.acaciacourse.core.route.FleetEndpoint;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class UnconfirmedOriginsTests {

	private static final StreamOrigin V1 = new StreamOrigin("pool", Optional.of("v1"));

	private static final StreamKey KEY = new StreamKey("customer", "request");

	private final UnconfirmedOrigins origins = new UnconfirmedOrigins();

	private List<StreamKey> contradicted(String version, long now) {
		FleetEndpoint endpoint = new FleetEndpoint("a", "pool", "10.0.0.1:80", "dc", 8, false, Optional.of(version));
		return this.origins.removeContradicted((instance) -> Optional.of(endpoint).filter((e) -> instance.equals("a")),
				now);
	}

	// Guards against a version of before a restart that is relied on.
	@Test
	void versionThatTheListCorrectsSoonIsNotKnown() {
		this.origins.add(KEY, V1, "a", 0);
		this.origins.add(new StreamKey("customer", "elsewhere"), V1, "b", 0);
		assertThat(contradicted("v1", 1)).isEmpty();
		assertThat(contradicted("v2", UnconfirmedOrigins.CONFIRMATION_NANOS)).containsExactly(KEY);
		assertThat(contradicted("v2", UnconfirmedOrigins.CONFIRMATION_NANOS)).isEmpty();
	}

	// Guards against streams that can't be taken up, as their endpoint was started again
	// long after they began.
	@Test
	void versionThatTheListChangesLaterRemains() {
		this.origins.add(KEY, V1, "a", 0);
		assertThat(contradicted("v2", UnconfirmedOrigins.CONFIRMATION_NANOS + 1)).isEmpty();
	}

	// Guards against a burst of streams that fills the memory.
	@Test
	void oldestOnesGoFirst() {
		for (int i = 0; i <= UnconfirmedOrigins.MAX_STREAMS; i++) {
			this.origins.add(new StreamKey("customer", "request-" + i), V1, "a", 0);
		}
		List<StreamKey> keys = contradicted("v2", 1);
		assertThat(keys).hasSize(UnconfirmedOrigins.MAX_STREAMS);
		assertThat(keys).doesNotContain(new StreamKey("customer", "request-0"));
	}

}
