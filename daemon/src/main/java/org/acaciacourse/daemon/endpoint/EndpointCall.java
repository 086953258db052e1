package org.acaciacourse.daemon.endpoint;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.asynchttpclient.netty.request.NettyRequest;
import org.jctools.queues.SpscUnboundedArrayQueue;

/**
 * One HTTP exchange with an endpoint. What arrives is handed to the listener on the
 * listener's own executor, in order; several chunks share one hand-over.
 * <p>
 * A call that was closed before its first byte was handed to the connection is never
 * sent: the two race for one state, so that "not sent" is certain. Chunks that wait for
 * the listener are bounded: over {@link #MAX_PENDING_BYTES} bytes the connection is not
 * read.
 * <p>
 * Thread safe: the HTTP client calls it on its event loops, the listener's side calls
 * {@link #close}.
 */
public final class EndpointCall implements AsyncHandler<Void> {

	static final int MAX_PENDING_BYTES = 256 * 1024;

	private static final int CHUNK_OVERHEAD = 64;

	private final Executor executor;

	private final Listener listener;

	private final AtomicReference<Stage> stage = new AtomicReference<>(Stage.PREPARED);

	private final SpscUnboundedArrayQueue<byte[]> chunks = new SpscUnboundedArrayQueue<>(32);

	private final AtomicInteger pendingBytes = new AtomicInteger();

	private final AtomicBoolean scheduled = new AtomicBoolean();

	private volatile Channel channel;

	// Set on the event loop of the connection, and read there.
	private volatile boolean returnedToPool;

	private int status;

	private boolean delimited;

	public EndpointCall(Executor executor, Listener listener) {
		this.executor = executor;
		this.listener = listener;
	}

	/**
	 * Return whether a byte of the request may have been sent.
	 * @return false only if none was and none will be
	 */
	public boolean maySent() {
		return this.stage.get() == Stage.SENT;
	}

	/**
	 * Give the call up and its connection with it, whoever uses that by now: what came
	 * over it cannot be trusted, and neither can what comes next.
	 * @return whether a byte of the request may have been sent
	 */
	public boolean close() {
		boolean sent = markClosed();
		Channel open = this.channel;
		if (open != null) {
			open.close();
		}
		return sent;
	}

	/**
	 * Give the call up: nothing more reaches the listener. The connection is closed, as
	 * the rest of the answer may still come over it, unless the answer came to its end
	 * and the connection was offered for other calls: then it is theirs.
	 * @return whether a byte of the request may have been sent
	 */
	public boolean release() {
		boolean sent = markClosed();
		Channel open = this.channel;
		if (open != null && open.isOpen()) {
			open.eventLoop().execute(() -> closeUnlessPooled(open));
		}
		return sent;
	}

	private boolean markClosed() {
		return !this.stage.compareAndSet(Stage.PREPARED, Stage.CLOSED) && this.stage.get() == Stage.SENT;
	}

	// On the connection's thread, which also offers it: checked elsewhere, another call
	// could begin on the connection between the check and the closing.
	private void closeUnlessPooled(Channel open) {
		if (!this.returnedToPool) {
			open.close();
		}
	}

	@Override
	public void onConnectionOffer(Channel connection) {
		this.returnedToPool = true;
	}

	@Override
	public void onTcpConnectSuccess(java.net.InetSocketAddress address, Channel connection) {
		this.channel = connection;
	}

	@Override
	public void onConnectionPooled(Channel connection) {
		this.channel = connection;
	}

	@Override
	public void onRequestSend(NettyRequest request) {
		if (!this.stage.compareAndSet(Stage.PREPARED, Stage.SENT)) {
			throw new IllegalStateException("closed before it was sent");
		}
	}

	@Override
	public State onStatusReceived(HttpResponseStatus response) {
		this.status = response.getStatusCode();
		return State.CONTINUE;
	}

	@Override
	public State onHeadersReceived(HttpHeaders headers) {
		this.delimited = headers.contains(HttpHeaderNames.CONTENT_LENGTH)
				|| headers.contains(HttpHeaderNames.TRANSFER_ENCODING) || this.status == 204;
		Head head = new Head(this.status, headers);
		this.executor.execute(() -> this.listener.head(this, head));
		return State.CONTINUE;
	}

	@Override
	public State onBodyPartReceived(HttpResponseBodyPart part) {
		byte[] bytes = part.getBodyPartBytes();
		if (bytes.length == 0) {
			return State.CONTINUE;
		}
		int waiting = this.pendingBytes.addAndGet(bytes.length + CHUNK_OVERHEAD);
		this.chunks.offer(bytes);
		if (waiting > MAX_PENDING_BYTES && ReadGate.pause(this.channel)) {
			this.listener.paused();
		}
		scheduleDelivery();
		return State.CONTINUE;
	}

	private void scheduleDelivery() {
		if (this.scheduled.compareAndSet(false, true)) {
			this.executor.execute(() -> {
				this.scheduled.set(false);
				this.listener.readable(this);
			});
		}
	}

	/**
	 * Take the next chunk of the answer; the listener's side only.
	 * @return the chunk, empty if none waits
	 */
	public Optional<byte[]> poll() {
		byte[] bytes = this.chunks.poll();
		if (bytes == null) {
			return Optional.empty();
		}
		int size = bytes.length + CHUNK_OVERHEAD;
		int waiting = this.pendingBytes.addAndGet(-size);
		// The gate is closed and opened on the event loop of the connection only. It was
		// closed over the bound, so that this crossing always comes after, and can't be
		// missed: with a flag shared by both sides, a closing that overtook its opening
		// left the connection unread for good.
		if (waiting < MAX_PENDING_BYTES / 2 && waiting + size >= MAX_PENDING_BYTES / 2) {
			ReadGate.resume(this.channel, () -> this.pendingBytes.get() <= MAX_PENDING_BYTES);
		}
		return Optional.of(bytes);
	}

	@Override
	public void onThrowable(Throwable cause) {
		this.executor.execute(() -> this.listener.ended(this, false));
	}

	@Override
	public Void onCompleted() {
		boolean complete = this.delimited;
		this.executor.execute(() -> this.listener.ended(this, complete));
		return null;
	}

	private enum Stage {

		PREPARED, SENT, CLOSED

	}

	/**
	 * Status and headers of an answer.
	 *
	 * @param status the HTTP status
	 * @param headers the headers
	 */
	public record Head(int status, HttpHeaders headers) {

		/**
		 * Return a header.
		 * @param name the name
		 * @return the value, empty if it is missing
		 */
		public String header(String name) {
			return this.headers.get(name, "");
		}

	}

	/**
	 * What to send.
	 *
	 * @param method the HTTP method
	 * @param url the whole address
	 * @param headers the headers
	 * @param body the body, empty for none
	 * @param fresh whether to open a connection for this call only
	 */
	public record Request(String method, String url, Map<String, String> headers, byte[] body, boolean fresh) {
	}

	/**
	 * Gets what arrives, on the executor of the call.
	 */
	public interface Listener {

		/**
		 * Reading was paused, as too much waits to be polled. Called on the HTTP client's
		 * thread.
		 */
		void paused();

		/**
		 * The head of the answer arrived.
		 * @param call the call
		 * @param head status and headers
		 */
		void head(EndpointCall call, Head head);

		/**
		 * Chunks can be polled.
		 * @param call the call
		 */
		void readable(EndpointCall call);

		/**
		 * The exchange ended; chunks may still wait to be polled.
		 * @param call the call
		 * @param whole whether the answer was received to its proven end
		 */
		void ended(EndpointCall call, boolean whole);

	}

}
