package org.acaciacourse.daemon.http;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http2.DefaultHttp2ResetFrame;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2StreamChannel;
import io.netty.util.concurrent.EventExecutor;

/**
 * The response to one request: either a complete response or a stream of events. It is
 * ended exactly once; anything written after that is dropped.
 * <p>
 * Not thread safe: belongs to the event loop of its connection.
 */
public final class CallerResponse {

	private final Channel channel;

	private final HttpVersion version;

	private final boolean keepAlive;

	private final long unreadLimitMillis;

	private final Runnable completionAction;

	private Runnable disconnectAction = () -> {
	};

	private Runnable writableAction = () -> {
	};

	private Runnable flushAction = () -> {
	};

	private ChannelFuture lastWrite;

	/** The bytes that the connection was given, with what it adds to them. */
	private long given;

	private boolean started;

	private boolean ended;

	private boolean written;

	/**
	 * Create a response.
	 * @param channel the connection or the HTTP/2 stream
	 * @param version the version of the request
	 * @param keepAlive whether the caller wants to use the connection again
	 * @param unreadLimit for how long the caller may take nothing of a response that was
	 * written to its end
	 * @param completionAction called when all was sent, or the connection is closed
	 */
	CallerResponse(Channel channel, HttpVersion version, boolean keepAlive, Duration unreadLimit,
			Runnable completionAction) {
		this.unreadLimitMillis = unreadLimit.toMillis();
		this.channel = channel;
		this.version = version;
		this.keepAlive = keepAlive;
		this.completionAction = completionAction;
	}

	/**
	 * Return the event loop that owns the response.
	 * @return the executor
	 */
	public EventExecutor executor() {
		return this.channel.eventLoop();
	}

	/**
	 * Set the action to run if the caller disconnects before the response has ended.
	 * @param action the action
	 */
	public void onDisconnect(Runnable action) {
		this.disconnectAction = action;
	}

	/**
	 * Set the action to run when the connection becomes writable again.
	 * @param action the action
	 */
	public void onWritable(Runnable action) {
		this.writableAction = action;
	}

	/**
	 * Return whether the connection accepts more data without exceeding its write buffer.
	 * @return whether the connection is writable
	 */
	public boolean isWritable() {
		return this.channel.isWritable();
	}

	/**
	 * Set the action to run whenever data was flushed, which may not all have been sent.
	 * @param action the action
	 */
	public void onFlush(Runnable action) {
		this.flushAction = action;
	}

	/**
	 * Return how much of the response the connection holds as the caller has not read it.
	 * @return the bytes, with what each part of the data adds in the connection's buffer;
	 * 0 once the response was sent or the connection is closed
	 */
	public long unread() {
		return (this.written) ? 0 : HeldBytes.of(this.channel);
	}

	/**
	 * Return how much of the response was sent. Only a growth has a meaning.
	 * @return the bytes
	 */
	public long taken() {
		return this.given - HeldBytes.unsent(this.channel);
	}

	/**
	 * Run an action once all that was written so far is sent, or can't be sent.
	 * @param action the action
	 */
	public void whenTaken(Runnable action) {
		if (this.lastWrite == null) {
			action.run();
		}
		else {
			this.lastWrite.addListener((future) -> action.run());
		}
	}

	/**
	 * Return whether a complete response or the head of a stream has been written.
	 * @return whether the status and the headers can no longer be changed
	 */
	public boolean isStarted() {
		return this.started;
	}

	/**
	 * Write a complete response.
	 * @param status the HTTP status
	 * @param headers the headers
	 * @param body the body
	 */
	public void send(int status, Map<String, String> headers, byte[] body) {
		HttpHeaders all = new DefaultHttpHeaders();
		headers.forEach(all::set);
		send(status, all, body);
	}

	/**
	 * Write a complete response.
	 * @param status the HTTP status
	 * @param headers the headers; a name may occur more than once
	 * @param body the body
	 */
	public void send(int status, HttpHeaders headers, byte[] body) {
		if (this.ended || this.started) {
			return;
		}
		this.started = true;
		DefaultFullHttpResponse response = new DefaultFullHttpResponse(this.version, HttpResponseStatus.valueOf(status),
				Unpooled.wrappedBuffer(body));
		response.headers().add(headers);
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
		setConnectionHeader(response);
		finish(response);
	}

	/**
	 * Write an error response that refuses the request.
	 * @param refusal the reason
	 * @param requestId the id of the request, empty to send none
	 */
	public void refuse(Refusal refusal, String requestId) {
		Map<String, String> headers = refusal.headers();
		if (!requestId.isEmpty()) {
			headers.put("x-request-id", requestId);
		}
		send(refusal.code().httpStatus(), headers, refusal.bytes());
	}

	/**
	 * Write the status line and the headers of a stream of events.
	 * @param headers the headers
	 */
	public void startStream(Map<String, String> headers) {
		HttpHeaders all = new DefaultHttpHeaders();
		headers.forEach(all::set);
		startStream(HttpResponseStatus.OK.code(), all);
	}

	/**
	 * Write the status line and the headers of a stream of events.
	 * @param status the HTTP status
	 * @param headers the headers, without a content length
	 */
	public void startStream(int status, HttpHeaders headers) {
		if (this.started || this.ended) {
			return;
		}
		this.started = true;
		DefaultHttpResponse response = new DefaultHttpResponse(this.version, HttpResponseStatus.valueOf(status));
		response.headers().add(headers);
		if (this.version.equals(HttpVersion.HTTP_1_1)) {
			HttpUtil.setTransferEncodingChunked(response, true);
		}
		setConnectionHeader(response);
		give(response);
	}

	/**
	 * Write a chunk of a stream without flushing it.
	 * @param data the data; this method takes ownership and releases it
	 */
	public void write(ByteBuf data) {
		if (this.ended) {
			data.release();
			return;
		}
		give(new DefaultHttpContent(data));
	}

	private void give(Object part) {
		long before = HeldBytes.unsent(this.channel);
		this.lastWrite = this.channel.write(part);
		this.given += HeldBytes.unsent(this.channel) - before;
	}

	/** Flush the data written so far. */
	public void flush() {
		this.channel.flush();
		this.flushAction.run();
	}

	/** End a stream. */
	public void endStream() {
		if (!this.ended) {
			finish(LastHttpContent.EMPTY_LAST_CONTENT);
		}
	}

	/** Close the connection or the HTTP/2 stream immediately. */
	public void abort() {
		this.channel.close();
	}

	/**
	 * Reset the connection or the HTTP/2 stream and discard what the caller has not read.
	 * A close alone would look like the end of a response without a length, would leave
	 * bytes in the socket, and would not reset a stream that was written to its end.
	 */
	public void discard() {
		if (this.channel instanceof Http2StreamChannel) {
			this.channel.writeAndFlush(new DefaultHttp2ResetFrame(Http2Error.CANCEL));
		}
		else if (this.channel instanceof SocketChannel socket) {
			socket.config().setSoLinger(0);
		}
		this.channel.close();
	}

	void channelClosed() {
		if (!this.ended) {
			this.ended = true;
			this.disconnectAction.run();
		}
	}

	void channelWritable() {
		if (!this.ended) {
			this.writableAction.run();
		}
	}

	private void setConnectionHeader(HttpMessage response) {
		HttpUtil.setKeepAlive(response, isReusable());
	}

	private boolean isReusable() {
		boolean delimited = this.version.equals(HttpVersion.HTTP_1_1) || this.ended;
		return this.keepAlive && delimited && !ConnectionLimiter.isClosing(this.channel);
	}

	private void finish(Object last) {
		this.ended = true;
		give(last);
		this.lastWrite.addListener((future) -> {
			this.written = true;
			this.completionAction.run();
		});
		flush();
		if (!this.written) {
			if (!(this.channel instanceof Http2StreamChannel)) {
				ConnectionUse.of(this.channel).unread();
			}
			discardIfNotTaken();
		}
	}

	private void discardIfNotTaken() {
		long before = taken();
		executor().schedule(() -> {
			if (!this.written && this.channel.isActive()) {
				if (taken() == before) {
					discard();
				}
				else {
					discardIfNotTaken();
				}
			}
		}, this.unreadLimitMillis, TimeUnit.MILLISECONDS);
	}

}
