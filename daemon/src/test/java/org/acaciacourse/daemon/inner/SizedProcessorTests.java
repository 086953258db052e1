package org.acaciacourse.daemon.inner;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.acaciacourse.daemon.codec.ThriftBytes;
import org.acaciacourse.daemon.memory.SizeGate;
import org.acaciacourse.daemon.memory.SizeGate.Admission;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.transport.TMemoryInputTransport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link SizedProcessor}.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class SizedProcessorTests {

	private static final int CAPACITY = 1 << 20;

	private final SizeGate gate = new SizeGate(CAPACITY);

	private final AtomicInteger served = new AtomicInteger();

	private final SizedProcessor processor = new SizedProcessor((in, out) -> this.served.incrementAndGet(), this.gate);

	private void call(int bytes) throws TException {
		TProtocol received = ThriftBytes.protocol()
			.getProtocol(new TMemoryInputTransport(ThriftBytes.bounds(), new byte[bytes]));
		this.processor.process(received, received);
	}

	// Guards against a leader that reads the arguments of many large calls at once, each
	// of which takes many times the bytes that were received.
	@Test
	void largeCallsWaitForEachOther() throws Exception {
		Admission other = this.gate.enter(CAPACITY, Duration.ZERO).orElseThrow();
		CompletableFuture<Void> call = CompletableFuture.runAsync(() -> {
			try {
				call(CAPACITY / 2);
			}
			catch (TException ex) {
				throw new AssertionError(ex);
			}
		});
		while (this.gate.waiting() == 0) {
			Thread.onSpinWait();
		}
		assertThat(this.served.get()).isEqualTo(0);
		other.close();
		call.join();
		assertThat(this.served.get()).isEqualTo(1);
		assertThat(this.gate.enter(CAPACITY, Duration.ZERO)).isPresent();
	}

	@Test
	void smallCallsDoNotWait() throws Exception {
		this.gate.enter(CAPACITY, Duration.ZERO).orElseThrow();
		call(1_000);
		assertThat(this.served.get()).isEqualTo(1);
	}

}
