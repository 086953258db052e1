package org.acaciacourse.core.route;

import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class LeavingEndpointsTests {

	private static final long ABSENCE = LeavingEndpoints.ABSENCE_NANOS;

	private final LeavingEndpoints leaving = new LeavingEndpoints();

	private static Fleet listed(String... instances) {
		return Fleet.of(Stream.of(instances)
			.map((instance) -> new FleetEndpoint(instance, "pool", "127.0.0.1:1", "dc", 8, false))
			.toList());
	}

	private List<String> marked(long now, String... instances) {
		return this.leaving.mark(listed(instances), now)
			.endpoints()
			.stream()
			.filter(FleetEndpoint::leaving)
			.map(FleetEndpoint::instance)
			.toList();
	}

	@Test
	void statementMarksItsEndpointOnly() {
		assertThat(marked(0, "i0", "i1")).isEmpty();
		assertThat(this.leaving.stated("i1")).isTrue();
		assertThat(this.leaving.stated("i1")).isFalse();
		assertThat(marked(0, "i0", "i1")).containsExactly("i1");
		assertThat(this.leaving.mark(listed("i0", "i1"), 0).revision()).isEqualTo(listed("i0", "i1").revision());
	}

	// Guards against a list that is read without the endpoint for a moment, after it has
	// not changed for long.
	@Test
	void gapInTheListDoesNotEndTheStatement() {
		this.leaving.stated("i0");
		marked(0, "i0", "i1");
		marked(10 * ABSENCE, "i1");
		assertThat(marked(11 * ABSENCE, "i0", "i1")).containsExactly("i0");
		marked(12 * ABSENCE, "i1");
		assertThat(marked(13 * ABSENCE, "i0", "i1")).containsExactly("i0");
	}

	// Guards against an endpoint that starts again under its id and is never used.
	@Test
	void longAbsenceEndsTheStatement() {
		this.leaving.stated("i0");
		marked(0, "i1");
		assertThat(marked(ABSENCE + 1, "i0", "i1")).isEmpty();
		assertThat(this.leaving.stated("i0")).isTrue();
	}

}
