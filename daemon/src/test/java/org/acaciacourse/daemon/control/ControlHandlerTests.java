package org.acaciacourse.daemon.control;

import java.util.List;

import io.vavr.control.Try;
import org.acaciacourse.daemon.inner.SharedKey;
import org.acaciacourse.protocol.generated.PollReply;
import org.acaciacourse.protocol.generated.PollRequest;
import org.apache.thrift.TException;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link ControlHandler}.
 */
class ControlHandlerTests {

	private static final String KEY = "inner-key-of-the-tests";

	private final ControlHandler handler = new ControlHandler(new SharedKey(KEY), new SharedKey("operator"));

	private Try<PollReply> poll(String key) {
		PollRequest request = new PollRequest("entry-1", "entry-1/1", "dc", 0, "", 0, 0, List.of(), true, false, 0, "");
		return Try.of(() -> this.handler.poll(key, request));
	}

	// A control VM that lost its disk takes seconds to join the others. If it kept a
	// polling entry VM waiting, that one would get its first configuration later than all
	// others.
	@Test
	void pollIsRefusedWhileBootstrapIsPending() {
		this.handler.bootstrapPending();
		assertThat(poll(KEY).getCause()).isInstanceOf(TException.class);
		assertThat(poll(KEY).getCause()).hasMessageThat().contains("not founded");
	}

	// A caller with a wrong key must not occupy threads that entry VMs need.
	@Test
	void pollWithAnotherKeyIsRefusedFirst() {
		assertThat(poll("another").getCause()).hasMessageThat().contains("wrong key");
	}

}
