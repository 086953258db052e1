package org.acaciacourse.daemon.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.CompositeByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import org.acaciacourse.core.code.ResultCode;

/**
 * Reads the requests of an HTTP/1.1 connection, or the single request of an HTTP/2
 * stream. Requests of a connection are processed sequentially. The first pipelined data
 * that arrives while a response is pending is queued and pauses reading from the socket,
 * so that a caller can't exhaust the memory with requests that await a response.
 * <p>
 * Not thread safe: belongs to the event loop of its connection.
 */
final class RequestReader extends ChannelInboundHandlerAdapter {

	private static final long LINGER_MILLIS = 1000;

	private final HttpLimits limits;

	private final RequestHandler handler;

	private final boolean http2Stream;

	private final Optional<BodyBudget> budget;

	private final Deque<HttpObject> pipelined = new ArrayDeque<>();

	private HttpRequest head;

	private ByteBuf body;

	/** What the budget has given for the body of the request. */
	private long taken;

	private CallerResponse response;

	private ScheduledFuture<?> timeout;

	private boolean discarding;

	RequestReader(HttpLimits limits, RequestHandler handler, Optional<BodyBudget> budget, boolean http2Stream) {
		this.limits = limits;
		this.handler = handler;
		this.budget = budget;
		this.http2Stream = http2Stream;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext ctx) {
		long millis = this.limits.readTimeout().toMillis();
		this.timeout = ctx.executor()
			.schedule(() -> refuse(ctx, ResultCode.REQUEST_TOO_SLOW), millis, TimeUnit.MILLISECONDS);
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		if (!(message instanceof HttpObject part) || this.discarding) {
			ReferenceCountUtil.release(message);
		}
		else if (this.response != null) {
			this.pipelined.add(part);
			ctx.channel().config().setAutoRead(false);
		}
		else {
			read(ctx, part);
		}
	}

	private void read(ChannelHandlerContext ctx, HttpObject part) {
		try {
			if (part.decoderResult().isFailure()) {
				refuse(ctx, codeOf(part.decoderResult().cause()));
				return;
			}
			if (part instanceof HttpRequest request) {
				begin(ctx, request);
			}
			if (part instanceof HttpContent content && this.head != null) {
				append(ctx, content);
			}
		}
		finally {
			ReferenceCountUtil.release(part);
		}
	}

	private static ResultCode codeOf(Throwable cause) {
		boolean tooLong = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
		return (tooLong) ? ResultCode.HEADERS_TOO_LARGE : ResultCode.MALFORMED_REQUEST;
	}

	private void begin(ChannelHandlerContext ctx, HttpRequest request) {
		restartTimeout(ctx, this.limits.readTimeout().toMillis(), ResultCode.REQUEST_TOO_SLOW);
		if (request.headers().size() > HttpLimits.MAX_HEADERS) {
			refuse(ctx, ResultCode.HEADERS_TOO_LARGE);
		}
		else if (HttpUtil.getContentLength(request, 0L) > this.limits.maxBody()) {
			refuse(ctx, ResultCode.REQUEST_TOO_LARGE);
		}
		else if (!hasRoom(HttpUtil.getContentLength(request, 0L))) {
			refuse(ctx, ResultCode.NO_MEMORY);
		}
		else {
			this.head = request;
			this.body = newBody(ctx);
			if (HttpUtil.is100ContinueExpected(request)) {
				ctx.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
			}
		}
	}

	// Parts of a body keep the buffers that they were read into, which may be much
	// larger.
	// Under a budget they are copied.
	private ByteBuf newBody(ChannelHandlerContext ctx) {
		return (this.budget.isPresent()) ? ctx.alloc().heapBuffer() : ctx.alloc().compositeBuffer(1024);
	}

	private boolean hasRoom(long bytes) {
		return bytes <= 0 || this.budget.isEmpty() || this.budget.get().hasRoom(bytes);
	}

	private boolean take(long bytes) {
		if (this.budget.isEmpty() || bytes <= 0) {
			return true;
		}
		boolean room = this.budget.get().take(bytes);
		this.taken += (room) ? bytes : 0;
		return room;
	}

	private void giveBack() {
		if (this.taken > 0) {
			this.budget.get().release(this.taken);
			this.taken = 0;
		}
	}

	private void append(ChannelHandlerContext ctx, HttpContent content) {
		long size = (long) this.body.readableBytes() + content.content().readableBytes();
		if (size > this.limits.maxBody()) {
			refuse(ctx, ResultCode.REQUEST_TOO_LARGE);
			return;
		}
		if (!take(size - this.taken)) {
			refuse(ctx, ResultCode.NO_MEMORY);
			return;
		}
		if (this.body instanceof CompositeByteBuf parts) {
			parts.addComponent(true, content.content().retain());
		}
		else {
			this.body.writeBytes(content.content());
		}
		if (content instanceof LastHttpContent) {
			complete(ctx);
		}
	}

	private void complete(ChannelHandlerContext ctx) {
		stopTimeout();
		HttpRequest request = this.head;
		byte[] bytes = bytes(this.body);
		clear();
		this.response = new CallerResponse(ctx.channel(), request.protocolVersion(), HttpUtil.isKeepAlive(request),
				() -> responseWritten(ctx, HttpUtil.isKeepAlive(request)));
		String uri = request.uri();
		int queryMark = uri.indexOf('?');
		String path = (queryMark < 0) ? uri : uri.substring(0, queryMark);
		String query = (queryMark < 0) ? "" : uri.substring(queryMark + 1);
		this.handler.handle(new CallerRequest(request.method().name(), uri, path, query, request.headers(), bytes),
				this.response);
	}

	private static byte[] bytes(ByteBuf body) {
		return ByteBufUtil.getBytes(body);
	}

	private void responseWritten(ChannelHandlerContext ctx, boolean keepAlive) {
		this.response = null;
		giveBack();
		boolean closeRequested = !this.http2Stream && !keepAlive;
		if (this.discarding) {
			closeAfterLinger(ctx);
		}
		else if (this.http2Stream || !ctx.channel().isActive()) {
			return;
		}
		else if (closeRequested || ConnectionLimiter.isClosing(ctx.channel())) {
			ctx.close();
		}
		else {
			restartTimeout(ctx, this.limits.idleTimeout().toMillis(), ResultCode.OK);
			readPipelined(ctx);
		}
	}

	private void readPipelined(ChannelHandlerContext ctx) {
		while (this.response == null && !this.pipelined.isEmpty()) {
			read(ctx, this.pipelined.remove());
		}
		if (this.pipelined.isEmpty()) {
			ctx.channel().config().setAutoRead(true);
		}
	}

	// ResultCode.OK stands for the idle timeout: the connection is closed without a
	// response.
	private void refuse(ChannelHandlerContext ctx, ResultCode code) {
		if (this.discarding || this.response != null) {
			return;
		}
		this.discarding = true;
		stopTimeout();
		HttpVersion version = HttpVersion.HTTP_1_1;
		clear();
		giveBack();
		if (code == ResultCode.OK) {
			ctx.close();
			return;
		}
		this.handler.refused(code);
		this.response = new CallerResponse(ctx.channel(), version, this.http2Stream,
				() -> responseWritten(ctx, this.http2Stream));
		this.response.refuse(Refusal.notRun(code), "");
	}

	// Keeps reading and discarding the rest of a refused request for LINGER_MILLIS:
	// closing a socket with unread bytes resets the connection, and the caller would
	// never receive the refusal.
	private void closeAfterLinger(ChannelHandlerContext ctx) {
		if (ctx.channel() instanceof SocketChannel socket) {
			socket.shutdownOutput();
		}
		ctx.executor().schedule(() -> ctx.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext ctx) {
		if (this.response != null && ctx.channel().isWritable()) {
			this.response.channelWritable();
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		stopTimeout();
		clear();
		giveBack();
		this.pipelined.forEach(ReferenceCountUtil::release);
		this.pipelined.clear();
		if (this.response != null) {
			this.response.channelClosed();
		}
		ctx.fireChannelInactive();
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		ctx.close();
	}

	/**
	 * Return whether a request is being received or its response is pending.
	 * @return whether the connection is in use
	 */
	boolean isBusy() {
		return this.response != null || this.head != null;
	}

	private void restartTimeout(ChannelHandlerContext ctx, long millis, ResultCode code) {
		stopTimeout();
		this.timeout = ctx.executor().schedule(() -> refuse(ctx, code), millis, TimeUnit.MILLISECONDS);
	}

	private void stopTimeout() {
		if (this.timeout != null) {
			this.timeout.cancel(false);
		}
	}

	private void clear() {
		this.head = null;
		if (this.body != null) {
			this.body.release();
			this.body = null;
		}
	}

}
