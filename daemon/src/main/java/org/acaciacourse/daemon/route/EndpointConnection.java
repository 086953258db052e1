package org.acaciacourse.daemon.route;

import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * One connection to an endpoint, which serves one request at a time. It is strict: a
 * connection on which anything comes that no request waits for, whose answer is damaged,
 * or whose request was not written to its end is never used again. What a faulty endpoint
 * sends after an answer would otherwise be taken for the next answer.
 * <p>
 * An answer without a length ends with its connection; it is whole only if the endpoint
 * closed the connection in order, not if it was reset.
 * <p>
 * Not thread safe: belongs to the event loop of the connection.
 */
final class EndpointConnection extends ChannelInboundHandlerAdapter {

	private final Consumer<EndpointConnection> onClosed;

	private Channel channel;

	private Listener listener;

	private ChannelFuture requestWritten;

	private boolean headReceived;

	private boolean informational;

	private boolean closeAfterResponse;

	private boolean connectionReset;

	private long usableUntil = Long.MAX_VALUE;

	private long idleSince = System.nanoTime();

	private long idleNanosBeforeRequest;

	/**
	 * Make a link.
	 * @param onClosed called when the connection is closed
	 */
	EndpointConnection(Consumer<EndpointConnection> onClosed) {
		this.onClosed = onClosed;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext ctx) {
		this.channel = ctx.channel();
	}

	/**
	 * Return whether the connection may take a request.
	 * @param now the time in nanoseconds
	 * @return whether it is open, idle, and not about to be closed by its endpoint
	 */
	boolean isUsable(long now) {
		return this.channel.isActive() && this.listener == null && now < this.usableUntil;
	}

	/**
	 * The connection rests.
	 * @param now the time in nanoseconds
	 * @param until until when it may be used
	 */
	void markIdle(long now, long until) {
		this.idleSince = now;
		this.usableUntil = until;
	}

	// How long it has been idle.
	long idleNanos(long now) {
		return now - this.idleSince;
	}

	// How long it had been idle before the request that it serves.
	long idleNanosBeforeRequest() {
		return this.idleNanosBeforeRequest;
	}

	/**
	 * Send a request.
	 * @param request the request, taken over
	 * @param responseListener gets what comes back
	 */
	void send(FullHttpRequest request, Listener responseListener) {
		this.listener = responseListener;
		this.idleNanosBeforeRequest = System.nanoTime() - this.idleSince;
		this.headReceived = false;
		this.closeAfterResponse = false;
		this.requestWritten = this.channel.writeAndFlush(request);
	}

	/**
	 * Give up what is under way and close the connection; the listener hears no more.
	 */
	void abandon() {
		this.listener = null;
		this.channel.close();
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		try {
			if (message instanceof HttpObject part) {
				read(part);
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void read(HttpObject part) {
		if (this.listener == null || part.decoderResult().isFailure()) {
			// Bytes that no request waits for, or that are no answer.
			fail();
			return;
		}
		if (part instanceof HttpResponse head) {
			readHead(head);
		}
		if (part instanceof HttpContent content && this.listener != null) {
			readContent(content);
		}
	}

	private void readHead(HttpResponse head) {
		this.informational = head.status().code() < 200;
		if (this.informational) {
			return;
		}
		if (this.headReceived) {
			fail();
			return;
		}
		this.headReceived = true;
		boolean framed = HttpUtil.isTransferEncodingChunked(head)
				|| head.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
		this.closeAfterResponse = !framed || !HttpUtil.isKeepAlive(head);
		this.listener.headReceived(head);
	}

	private void readContent(HttpContent content) {
		boolean last = content instanceof LastHttpContent;
		if (this.informational) {
			return;
		}
		ByteBuf bytes = content.content();
		if (bytes.isReadable()) {
			this.listener.contentReceived(bytes);
		}
		if (last && this.listener != null) {
			finish();
		}
	}

	private void finish() {
		Listener completed = this.listener;
		if (this.connectionReset) {
			fail();
			return;
		}
		this.listener = null;
		// An endpoint may answer before it has read the request to its end. The next
		// request would then be written behind a rest that is still on its way.
		boolean reusable = !this.closeAfterResponse && this.requestWritten.isSuccess() && this.channel.isActive();
		if (!reusable) {
			this.channel.close();
		}
		completed.responseComplete(reusable);
	}

	private void fail() {
		Listener failed = this.listener;
		this.listener = null;
		this.channel.close();
		if (failed != null) {
			failed.connectionFailed();
		}
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext ctx) {
		if (this.listener != null) {
			this.listener.readComplete();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		this.connectionReset = true;
		fail();
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		fail();
		this.onClosed.accept(this);
	}

	/**
	 * Gets what comes back for one request: a head, contents, and either an end or a
	 * break, once.
	 */
	interface Listener {

		/**
		 * The head of the answer.
		 * @param head status and headers
		 */
		void headReceived(HttpResponse head);

		/**
		 * A part of the body.
		 * @param bytes the bytes, valid during the call
		 */
		void contentReceived(ByteBuf bytes);

		/**
		 * All that came with one read was handed over.
		 */
		void readComplete();

		/**
		 * The answer came to its end.
		 * @param reusable whether the connection may serve another request
		 */
		void responseComplete(boolean reusable);

		/**
		 * The connection ended, or what came is no answer.
		 */
		void connectionFailed();

	}

}
