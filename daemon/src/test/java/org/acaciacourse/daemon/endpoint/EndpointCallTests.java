package org.acaciacourse.daemon.endpoint;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import org.asynchttpclient.HttpResponseBodyPart;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class EndpointCallTests {

	private final Deque<Runnable> tasks = new ArrayDeque<>();

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private final EndpointCall call = new EndpointCall(this.tasks::add, new NoOpListener());

	EndpointCallTests() {
		this.channel.pipeline().addFirst(ReadGate.NAME, new ReadGate());
		this.call.onConnectionPooled(this.channel);
	}

	private void receive(int bytes) {
		this.call.onBodyPartReceived(new Part(new byte[bytes]));
	}

	private void poll(int times) {
		for (int i = 0; i < times; i++) {
			assertThat(this.call.poll()).isPresent();
		}
	}

	private boolean isAutoRead() {
		this.channel.runPendingTasks();
		return this.channel.config().isAutoRead();
	}

	@Nested
	class Backpressure {

		// A slow caller leaves chunks waiting. Over the bound the connection is not read;
		// once half of them are taken it is read again.
		@Test
		void readingPausesAboveTheLimitAndResumesBelowHalf() {
			receive(EndpointCall.MAX_PENDING_BYTES / 2);
			assertThat(isAutoRead()).isTrue();
			receive(EndpointCall.MAX_PENDING_BYTES / 2);
			assertThat(isAutoRead()).isFalse();
			poll(2);
			assertThat(isAutoRead()).isTrue();
		}

		// The caller's side takes everything, and before the order to read on is carried
		// out the rest of the last read comes in and closes the gate again. Taking that
		// rest must open it: a gate closed for good looked like a silent engine.
		@Test
		void lateResumeDoesNotLeaveReadingPaused() {
			receive(EndpointCall.MAX_PENDING_BYTES + 1);
			poll(1);
			receive(EndpointCall.MAX_PENDING_BYTES + 1);
			assertThat(isAutoRead()).isFalse();
			poll(1);
			assertThat(isAutoRead()).isTrue();
		}

	}

	@Nested
	class Sending {

		// The request is given up while its connection is opened: it must not be sent
		// later, as the caller may be told that it did not run.
		@Test
		void closedCallIsNeverSent() {
			assertThat(EndpointCallTests.this.call.close()).isFalse();
			IllegalStateException refused = null;
			try {
				EndpointCallTests.this.call.onRequestSend(null);
			}
			catch (IllegalStateException ex) {
				refused = ex;
			}
			assertThat(refused).isNotNull();
			assertThat(EndpointCallTests.this.call.maySent()).isFalse();
		}

		@Test
		void sentCallMayHaveRunWhenClosed() {
			EndpointCallTests.this.call.onRequestSend(null);
			assertThat(EndpointCallTests.this.call.close()).isTrue();
		}

	}

	@Nested
	class Closing {

		private boolean isOpen() {
			EndpointCallTests.this.channel.runPendingTasks();
			return EndpointCallTests.this.channel.isOpen();
		}

		// The rest of an answer that is given up may still come over its connection.
		@Test
		void releaseDuringResponseClosesTheConnection() {
			EndpointCallTests.this.call.release();
			assertThat(isOpen()).isFalse();
		}

		// An answer is whole, and its connection serves another request. A second later
		// the first call is released, in case its endpoint never ended the answer. That
		// must not cut the answer which the connection carries by now: its caller got it
		// in pieces of three attempts, and none if it may not be resumed.
		@Test
		void releaseAfterResponseLeavesThePooledConnectionOpen() {
			EndpointCallTests.this.call.onConnectionOffer(EndpointCallTests.this.channel);
			EndpointCallTests.this.call.release();
			assertThat(isOpen()).isTrue();
		}

		// The order to release crosses the end of the answer on the connection's thread.
		@Test
		void connectionPooledDuringReleaseStaysOpen() {
			EndpointCallTests.this.call.release();
			EndpointCallTests.this.call.onConnectionOffer(EndpointCallTests.this.channel);
			assertThat(isOpen()).isTrue();
		}

		// A whole answer came under the id of another request. Its connection was offered
		// before that was seen; the next answer over it would be a foreign one too.
		@Test
		void untrustedConnectionIsClosedEvenIfPooled() {
			EndpointCallTests.this.call.onConnectionOffer(EndpointCallTests.this.channel);
			EndpointCallTests.this.call.close();
			assertThat(isOpen()).isFalse();
		}

	}

	/** Ignores what arrives. */
	private static final class NoOpListener implements EndpointCall.Listener {

		@Override
		public void paused() {
		}

		@Override
		public void head(EndpointCall from, EndpointCall.Head head) {
		}

		@Override
		public void readable(EndpointCall from) {
		}

		@Override
		public void ended(EndpointCall from, boolean whole) {
		}

	}

	/** A part of a body. */
	private static final class Part extends HttpResponseBodyPart {

		private final byte[] bytes;

		private Part(byte[] bytes) {
			super(false);
			this.bytes = bytes;
		}

		@Override
		public int length() {
			return this.bytes.length;
		}

		@Override
		public byte[] getBodyPartBytes() {
			return this.bytes;
		}

		@Override
		public ByteBuffer getBodyByteBuffer() {
			return ByteBuffer.wrap(this.bytes);
		}

		@Override
		public ByteBuf getBodyByteBuf() {
			return Unpooled.wrappedBuffer(this.bytes);
		}

	}

}
