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

		// A slow caller leaves chunks unpolled. Above the limit, reading from the
		// connection pauses; below half the limit, it resumes.
		@Test
		void readingPausesAboveTheLimitAndResumesBelowHalf() {
			receive(EndpointCall.MAX_PENDING_BYTES / 2);
			assertThat(isAutoRead()).isTrue();
			receive(EndpointCall.MAX_PENDING_BYTES / 2);
			assertThat(isAutoRead()).isFalse();
			poll(2);
			assertThat(isAutoRead()).isTrue();
		}

		// The listener polls everything, and before the scheduled resume runs, the rest
		// of the last read arrives and exceeds the limit again. Polling that rest must
		// resume reading: a connection that stayed paused was taken for a silent engine.
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

		// A call that is closed while its connection is being opened must not be sent
		// later, as the response to the caller may already state that the request was
		// not run.
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
			assertThat(EndpointCallTests.this.call.mayHaveBeenSent()).isFalse();
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

		// The rest of an abandoned response may still arrive over its connection.
		@Test
		void releaseDuringResponseClosesTheConnection() {
			EndpointCallTests.this.call.release();
			assertThat(isOpen()).isFalse();
		}

		// A response is complete, and its connection serves another request. A second
		// later the first call is released, in case its endpoint never ended the
		// response. That must not cut the response that now uses the connection: its
		// caller got it pieced together from three attempts, or not at all if it may not
		// be resumed.
		@Test
		void releaseAfterResponseLeavesThePooledConnectionOpen() {
			EndpointCallTests.this.call.onConnectionOffer(EndpointCallTests.this.channel);
			EndpointCallTests.this.call.release();
			assertThat(isOpen()).isTrue();
		}

		// The response ends after release() was called, but before the close that it
		// scheduled runs on the event loop of the connection.
		@Test
		void connectionPooledDuringReleaseStaysOpen() {
			EndpointCallTests.this.call.release();
			EndpointCallTests.this.call.onConnectionOffer(EndpointCallTests.this.channel);
			assertThat(isOpen()).isTrue();
		}

		// A complete response carried the id of another request, which was detected only
		// after its connection had been returned to the pool. The next response over
		// that connection would belong to another request too.
		@Test
		void untrustedConnectionIsClosedEvenIfPooled() {
			EndpointCallTests.this.call.onConnectionOffer(EndpointCallTests.this.channel);
			EndpointCallTests.this.call.close();
			assertThat(isOpen()).isFalse();
		}

	}

	/** A part of a response body. */
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
