package org.acaciacourse.daemon.http;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.handler.codec.http2.DefaultHttp2ResetFrame;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import org.acaciacourse.core.code.ResultCode;

/**
 * Reads the requests of an HTTP/1.1 connection, or the single request of an HTTP/2
 * stream. Requests of a connection are processed sequentially: while a response is
 * pending, what follows is neither read nor decoded.
 * <p>
 * Invariant: what is held of a request, from the first byte of its head until its
 * response was written, is within the memory budget of the process.
 * <p>
 * Not thread safe: belongs to the event loop of its connection.
 */
final class RequestReader extends ChannelInboundHandlerAdapter implements BoundedRequestDecoder.Receiver {

	private static final long LINGER_MILLIS = 1000;

	/** What a stream with its pipeline takes, whatever is sent over it. */
	private static final int STREAM_BYTES = 8 * 1024;

	private final HttpLimits limits;

	private final RequestHandler handler;

	private final boolean http2Stream;

	private final RequestMemory memory;

	private final HeldRequest held = new HeldRequest(() -> refuse(ResultCode.NO_MEMORY));

	private ChannelHandlerContext context;

	private HttpRequest head;

	private ByteBuf body;

	private boolean headRequested;

	private CallerResponse response;

	private ScheduledFuture<?> timeout;

	private boolean headBegun;

	private boolean discarding;

	RequestReader(HttpLimits limits, RequestHandler handler, RequestMemory memory, boolean http2Stream) {
		this.limits = limits;
		this.handler = handler;
		this.memory = memory;
		this.http2Stream = http2Stream;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext ctx) {
		this.context = ctx;
		restartTimeout(this.limits.readTimeout().toMillis(), ResultCode.REQUEST_TOO_SLOW);
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		if (message instanceof HttpObject part && isReady()) {
			read(part);
		}
		else {
			ReferenceCountUtil.release(message);
		}
	}

	@Override
	public boolean isReady() {
		return !this.discarding && this.response == null;
	}

	@Override
	public boolean takeHead(long cost) {
		return this.memory.take(this.held, cost);
	}

	@Override
	public void buffered(long bytes, boolean pipelined) {
		if (pipelined || this.response != null) {
			this.memory.bufferPipelined(this.held, bytes);
			return;
		}
		if (this.discarding) {
			return;
		}
		if (bytes > 0 && this.head == null && !this.headBegun) {
			this.headBegun = true;
			restartTimeout(this.limits.headerTimeout().toMillis(), ResultCode.REQUEST_TOO_SLOW);
		}
		if (!this.memory.buffer(this.held, bytes)) {
			refuse(ResultCode.NO_MEMORY);
		}
	}

	private void read(HttpObject part) {
		try {
			if (part.decoderResult().isFailure()) {
				refuse(codeOf(part.decoderResult().cause()));
				return;
			}
			if (part instanceof HttpRequest request) {
				begin(request);
			}
			if (part instanceof HttpContent content && this.head != null) {
				append(content);
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

	private void begin(HttpRequest request) {
		this.headBegun = false;
		restartTimeout(this.limits.readTimeout().toMillis(), ResultCode.REQUEST_TOO_SLOW);
		Optional<ResultCode> refusal = refusal(request);
		if (refusal.isPresent()) {
			refuse(refusal.get());
			return;
		}
		this.head = request;
		this.headRequested = HttpMethod.HEAD.equals(request.method());
		// A slice of what was read would keep a buffer that may be much larger.
		this.body = this.context.alloc().heapBuffer();
		if (HttpUtil.is100ContinueExpected(request)) {
			this.context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
		}
	}

	private Optional<ResultCode> refusal(HttpRequest request) {
		long announced = HttpUtil.getContentLength(request, 0L);
		if (request.headers().size() > this.limits.maxHeaderLines()) {
			return Optional.of(ResultCode.HEADERS_TOO_LARGE);
		}
		if (announced > this.limits.maxBody()) {
			return Optional.of(ResultCode.REQUEST_TOO_LARGE);
		}
		boolean hasRoom = !this.http2Stream || takeHead(STREAM_BYTES + HeadCost.of(request.headers()));
		return (hasRoom && this.memory.hasRoomForBody(this.held, announced)) ? Optional.empty()
				: Optional.of(ResultCode.NO_MEMORY);
	}

	private void append(HttpContent content) {
		int bytes = content.content().readableBytes();
		if ((long) this.body.readableBytes() + bytes > this.limits.maxBody()) {
			refuse(ResultCode.REQUEST_TOO_LARGE);
			return;
		}
		if (bytes > 0 && !this.memory.take(this.held, bytes)) {
			refuse(ResultCode.NO_MEMORY);
			return;
		}
		this.body.writeBytes(content.content());
		if (content instanceof LastHttpContent) {
			complete();
		}
	}

	private void complete() {
		if (!this.memory.complete(this.held)) {
			refuse(ResultCode.NO_MEMORY);
			return;
		}
		stopTimeout();
		ConnectionUse.of(channel()).busy();
		HttpRequest request = this.head;
		byte[] bytes = ByteBufUtil.getBytes(this.body);
		clear();
		boolean keepAlive = HttpUtil.isKeepAlive(request);
		this.response = new CallerResponse(channel(), request.protocolVersion(), keepAlive, this.limits.idleTimeout(),
				() -> responseWritten(keepAlive));
		String uri = request.uri();
		int queryMark = uri.indexOf('?');
		String path = (queryMark < 0) ? uri : uri.substring(0, queryMark);
		String query = (queryMark < 0) ? "" : uri.substring(queryMark + 1);
		this.handler.handle(new CallerRequest(request.method().name(), uri, path, query, request.headers(), bytes),
				this.response);
	}

	private void responseWritten(boolean keepAlive) {
		this.response = null;
		this.memory.release(this.held);
		if (!channel().isActive()) {
			return;
		}
		if (this.discarding) {
			closeAfterLinger();
		}
		else if (this.http2Stream) {
			return;
		}
		else if (!keepAlive || ConnectionLimiter.isClosing(channel())) {
			this.context.close();
		}
		else {
			ConnectionUse.of(channel()).idle();
			restartTimeout(this.limits.idleTimeout().toMillis(), ResultCode.OK);
			resumeReading();
		}
	}

	private void resumeReading() {
		ChannelHandlerContext ctx = channel().pipeline().context(BoundedRequestDecoder.class);
		((BoundedRequestDecoder) ctx.handler()).resume(ctx);
	}

	// ResultCode.OK stands for the idle timeout: the connection is closed without a
	// response.
	@Override
	public void refuse(ResultCode code) {
		if (!isReady()) {
			return;
		}
		this.discarding = true;
		ConnectionUse.of(channel()).refused();
		stopTimeout();
		clear();
		stopDecoding();
		if (code == ResultCode.OK) {
			this.context.close();
			return;
		}
		this.handler.refused(code);
		if (this.http2Stream && code == ResultCode.NO_MEMORY) {
			// Says that the request was not processed (RFC 9113, section 8.7). A response
			// would take memory until the caller reads it.
			this.context.writeAndFlush(new DefaultHttp2ResetFrame(Http2Error.REFUSED_STREAM));
			this.context.close();
			return;
		}
		this.response = new CallerResponse(channel(), HttpVersion.HTTP_1_1, this.http2Stream, this.limits.idleTimeout(),
				() -> responseWritten(this.http2Stream));
		this.response.refuse(Refusal.notRun(code), "");
	}

	// What still arrives is discarded as bytes: a refused request may have no end.
	private void stopDecoding() {
		ChannelPipeline pipeline = channel().pipeline();
		if (pipeline.get(BoundedRequestDecoder.class) != null) {
			pipeline.remove(BoundedRequestDecoder.class);
		}
		if (!this.http2Stream) {
			this.memory.release(this.held);
		}
	}

	// Keeps reading and discarding the rest of a refused request for LINGER_MILLIS:
	// closing a socket with unread bytes resets the connection, and the caller would
	// never receive the refusal.
	private void closeAfterLinger() {
		if (channel() instanceof SocketChannel socket) {
			socket.shutdownOutput();
		}
		this.context.executor().schedule(() -> this.context.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
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
		this.memory.release(this.held);
		this.discarding = true;
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

	/**
	 * Return whether the request that is responded to asks for a head alone.
	 * @return whether its method is HEAD
	 */
	boolean isHeadRequested() {
		return this.headRequested;
	}

	private Channel channel() {
		return this.context.channel();
	}

	private void restartTimeout(long millis, ResultCode code) {
		stopTimeout();
		this.timeout = this.context.executor().schedule(() -> refuse(code), millis, TimeUnit.MILLISECONDS);
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
