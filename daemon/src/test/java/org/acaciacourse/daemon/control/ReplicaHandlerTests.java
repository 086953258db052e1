package org.acaciacourse.daemon.control;

import java.util.List;

import io.vavr.control.Try;
import org.acaciacourse.core.consensus.Member;
import org.acaciacourse.core.consensus.ReplicaId;
import org.acaciacourse.core.consensus.ReplicaMessage.AppendRequest;
import org.acaciacourse.core.consensus.ReplicaTiming;
import org.acaciacourse.daemon.codec.ReplicaCodec;
import org.acaciacourse.daemon.inner.SharedKey;
import org.acaciacourse.daemon.store.MemoryDisk;
import org.acaciacourse.daemon.store.ReplicaStore;
import org.acaciacourse.protocol.generated.ReplicaEnvelope;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class ReplicaHandlerTests {

	private static final String KEY = "inner-key-of-the-tests";

	private final ReplicaStore store = new MemoryDisk().openStore();

	private final Member self = new Member(this.store.identity(), "control-1", "127.0.0.1:1", false);

	private final ReplicaHandler handler = new ReplicaHandler(new SharedKey(KEY), this.self);

	private final PeerOutbox outbox = new PeerOutbox(this.self.address(), new SharedKey(KEY));

	private final ReplicaLoop loop = new ReplicaLoop("replica",
			new ReplicaDriver(this.store, "control-1", ReplicaTiming.defaults(), 100, this.outbox, System.nanoTime()),
			(seconds) -> {
			}, (code) -> {
			});

	@AfterEach
	void stop() throws Exception {
		this.loop.stop();
		this.outbox.close();
	}

	private void startHandler() {
		this.loop.start();
		this.handler.start(this.loop, this.outbox);
	}

	private boolean deliver(String key, long term, ReplicaId receiver) {
		AppendRequest heartbeat = new AppendRequest(new ReplicaId(7), term, 0, 0, List.of(), 0, 1);
		ReplicaEnvelope envelope = ReplicaCodec.encode(heartbeat, receiver);
		return Try.run(() -> this.handler.deliver(key, List.of(envelope), "127.0.0.1:9")).isSuccess();
	}

	private long term() {
		return this.loop.views().latest().status().term();
	}

	@Nested
	class Delivery {

		@Test
		void ignoresMessagesForAnotherReplica() {
			// The VM lost its disk and runs as a new replica at the same address, where
			// messages to the old replica still arrive. The new one must not respond to
			// them, as it does not know the old one's votes and log.
			startHandler();
			assertThat(deliver(KEY, 50, new ReplicaId(5))).isTrue();
			assertThat(deliver(KEY, 3, ReplicaHandlerTests.this.self.id())).isTrue();
			ControlCluster.await("term 3", () -> term() == 3);
		}

		@Test
		void isRefusedWithAWrongKeyAndBeforeTheStart() {
			assertThat(deliver(KEY, 3, ReplicaHandlerTests.this.self.id())).isFalse();
			startHandler();
			assertThat(deliver("wrong", 50, ReplicaHandlerTests.this.self.id())).isFalse();
			assertThat(deliver(KEY, 4, ReplicaHandlerTests.this.self.id())).isTrue();
			ControlCluster.await("term 4", () -> term() == 4);
		}

	}

}
