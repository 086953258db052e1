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
 * One HTTP exchange with an endpoint. The response is delivered to the listener in order
 * on the executor of the call; several chunks may share one notification.
 * <p>
 * A call that is closed before its first byte is passed to the connection is never sent:
 * closing and sending compete for the same atomic state, so that "not sent" is certain.
 * Chunks that the listener has not polled yet are bounded: while they exceed
 * {@link #MAX_PENDING_BYTES}, the connection is not read.
 * <p>
 * Thread safe: the HTTP client calls it on its event loops, the listener's side calls
 * {@link #close}.
 */
public final class EndpointCall implements AsyncHandler<Void> {

	/** Size of unpolled chunks in bytes over which reading pauses. */
	static final int MAX_PENDING_BYTES = 256 * 1024;

	private static final int CHUNK_OVERHEAD = 64;

	private final Executor executor;

	private final Listener listener;

	private final AtomicReference<Stage> stage = new AtomicReference<>(Stage.PREPARED);

	private final SpscUnboundedArrayQueue<byte[]> chunks = new SpscUnboundedArrayQueue<>(32);

	private final AtomicInteger pendingBytes = new AtomicInteger();

	private final AtomicBoolean scheduled = new AtomicBoolean();

	private volatile Channel channel;

	// Written and read on the event loop of the connection only.
	private volatile boolean returnedToPool;

	private int status;

	private boolean delimited;

	public EndpointCall(Executor executor, Listener listener) {
		this.executor = executor;
		this.listener = listener;
	}

	/**
	 * Return whether a byte of the request may have been sent.
	 * @return false only if none was sent and none will be
	 */
	public boolean mayHaveBeenSent() {
		return this.stage.get() == Stage.SENT;
	}

	/**
	 * Cancel the call and close its connection, even if another call uses it by now: the
	 * data received over it can't be trusted, and neither can any further data.
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
	 * Cancel the call. The connection is closed, as the rest of the response may still
	 * arrive over it, unless the response is complete and the connection was returned to
	 * the pool, where another call may use it.
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

	// Runs on the event loop of the connection, which also returns it to the pool. On
	// another thread, a call could start on the connection between the check and the
	// close.
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
			throw new IllegalStateException("call was closed before its request was sent");
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
		this.executor.execute(() -> this.listener.headReceived(this, head));
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
			this.listener.readingPaused();
		}
		scheduleDelivery();
		return State.CONTINUE;
	}

	private void scheduleDelivery() {
		if (this.scheduled.compareAndSet(false, true)) {
			this.executor.execute(() -> {
				this.scheduled.set(false);
				this.listener.chunksAvailable(this);
			});
		}
	}

	/**
	 * Return and remove the next chunk of the response. Called by the listener's side
	 * only.
	 * @return the chunk, empty if none is pending
	 */
	public Optional<byte[]> poll() {
		byte[] bytes = this.chunks.poll();
		if (bytes == null) {
			return Optional.empty();
		}
		int size = bytes.length + CHUNK_OVERHEAD;
		int waiting = this.pendingBytes.addAndGet(-size);
		// Reading is paused and resumed on the event loop of the connection only. It was
		// paused above the limit, so that the crossing of half the limit always follows
		// and can't be missed. With a flag shared by both sides, a pause that overtook
		// the preceding resume would leave the connection unread for ever.
		if (waiting < MAX_PENDING_BYTES / 2 && waiting + size >= MAX_PENDING_BYTES / 2) {
			ReadGate.resume(this.channel, () -> this.pendingBytes.get() <= MAX_PENDING_BYTES);
		}
		return Optional.of(bytes);
	}

	@Override
	public void onThrowable(Throwable cause) {
		this.executor.execute(() -> this.listener.callEnded(this, false));
	}

	@Override
	public Void onCompleted() {
		boolean complete = this.delimited;
		this.executor.execute(() -> this.listener.callEnded(this, complete));
		return null;
	}

	private enum Stage {

		PREPARED, SENT, CLOSED

	}

	/**
	 * Status and headers of a response.
	 *
	 * @param status the HTTP status
	 * @param headers the headers
	 */
	public record Head(int status, HttpHeaders headers) {

		/**
		 * Return a header.
		 * @param name the name
		 * @return the value, an empty string if it is missing
		 */
		public String header(String name) {
			return this.headers.get(name, "");
		}

	}

	/**
	 * A request to send.
	 *
	 * @param method the HTTP method
	 * @param url the complete URL
	 * @param headers the headers
	 * @param body the body, empty for none
	 * @param newConnection whether to open a new connection that is used for this call
	 * only
	 */
	public record Request(String method, String url, Map<String, String> headers, byte[] body, boolean newConnection) {
	}

	/**
	 * Receives the events of a call, on the executor of the call unless stated otherwise.
	 */
	public interface Listener {

		/**
		 * Called when reading was paused because too much data waits to be polled. Runs
		 * on the event loop of the HTTP client.
		 */
		void readingPaused();

		/**
		 * Called when the head of the response was received.
		 * @param call the call
		 * @param head status and headers
		 */
		void headReceived(EndpointCall call, Head head);

		/**
		 * Called when chunks can be polled.
		 * @param call the call
		 */
		void chunksAvailable(EndpointCall call);

		/**
		 * Called when the exchange has ended; chunks may still wait to be polled.
		 * @param call the call
		 * @param complete whether the end of the response was proven by its length or its
		 * transfer coding
		 */
		void callEnded(EndpointCall call, boolean complete);

	}

}
