package org.acaciacourse.daemon.route;

import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.regex.Pattern;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.acaciacourse.core.path.EndpointLink;
import org.acaciacourse.core.path.LinkSign;
import org.acaciacourse.core.route.FleetEndpoint;
import org.acaciacourse.daemon.endpoint.EndpointResponseDecoder;
import org.acaciacourse.daemon.memory.EndpointReading;

/**
 * One connection to an endpoint, which carries one request at a time. A connection is
 * never used again if data arrives on it that no request waits for, if a response on it
 * is malformed, or if a request was not written completely. Otherwise, data that a faulty
 * endpoint sends after a response would be taken for the next response. For the same
 * reason a response is complete only once all data that arrived with it was read, and the
 * beginning of a further head counts as data like any other.
 * <p>
 * A response without a length ends with its connection; it is complete only if the end of
 * the input was received. A connection that is reset ends without it, also where a failed
 * write of the request is noticed before the reset is read.
 * <p>
 * Not thread safe: belongs to the event loop of the connection.
 */
final class EndpointConnection extends ChannelInboundHandlerAdapter implements EndpointReading {

	/** More than servers send before one response; bounds those without end. */
	private static final int MAX_INFORMATIONAL = 8;

	/** More late responses than are under way at once; bounds those without end. */
	private static final int MAX_DISCARDED = 8;

	/** Precedes a status line, and is hardly ever in a header. */
	private static final String VERSION = "HTTP/1.";

	private final FleetEndpoint endpoint;

	private final EndpointLink link;

	private final Optional<String> via;

	private final Consumer<EndpointConnection> onClosed;

	private Channel channel;

	private EndpointResponseDecoder decoder;

	private Listener listener;

	/** Waits for the rest of the data that arrived with its response. */
	private Listener completed;

	private final CarriedRequests carried = new CarriedRequests();

	private boolean headRequested;

	/** The late responses since the request was sent. */
	private int discardedCount;

	private boolean discarding;

	private ChannelFuture requestWritten;

	private boolean headReceived;

	private boolean framed;

	private boolean informational;

	/** The informational responses since the request was sent. */
	private int informationalCount;

	private boolean closeAfterResponse;

	private boolean connectionReset;

	private boolean closedByEndpoint;

	private boolean stopping;

	private boolean paused;

	private long usableUntil = Long.MAX_VALUE;

	private long idleSince = System.nanoTime();

	private long idleNanosBeforeRequest;

	/**
	 * Create a connection handler.
	 * @param endpoint the endpoint
	 * @param link the link that the connection runs over
	 * @param via the VM that the connection is tunnelled through; empty if it is direct
	 * @param onClosed called when the connection is closed
	 */
	EndpointConnection(FleetEndpoint endpoint, EndpointLink link, Optional<String> via,
			Consumer<EndpointConnection> onClosed) {
		this.endpoint = endpoint;
		this.link = link;
		this.via = via;
		this.onClosed = onClosed;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext ctx) {
		this.channel = ctx.channel();
		this.decoder = ctx.pipeline().get(EndpointResponseDecoder.class);
	}

	FleetEndpoint endpoint() {
		return this.endpoint;
	}

	/**
	 * Return the VM that the connection is tunnelled through.
	 * @return its address, empty if the connection is direct
	 */
	Optional<String> via() {
		return this.via;
	}

	EndpointLink link() {
		return this.link;
	}

	/**
	 * Return whether the connection may carry a request.
	 * @param now the time in nanoseconds
	 * @return whether it is open, idle, and not about to be closed by its endpoint
	 */
	boolean isUsable(long now) {
		return this.channel.isActive() && this.listener == null && !this.stopping && now < this.usableUntil;
	}

	/**
	 * Mark the connection as idle.
	 * @param now the time in nanoseconds
	 * @param until the time until which it may be used
	 */
	void markIdle(long now, long until) {
		this.idleSince = now;
		this.usableUntil = until;
	}

	// Returns how long the connection has been idle.
	long idleNanos(long now) {
		return now - this.idleSince;
	}

	// Returns how long the connection had been idle before its latest request.
	long idleNanosBeforeRequest() {
		return this.idleNanosBeforeRequest;
	}

	// Returns how many requests the connection has carried before the latest one.
	int earlierRequests() {
		return Math.max(0, this.carried.count() - 1);
	}

	// Returns whether the connection has carried a request before the latest one.
	boolean isReused() {
		return earlierRequests() > 0;
	}

	/**
	 * Return whether one of the latest requests on the connection had an id. If another
	 * one with the same id followed, a late response to the first could not be told from
	 * that to the second.
	 * @param id the id of the request that is to be sent
	 * @return whether the request must not be sent over this connection
	 */
	boolean hasCarried(String id) {
		return this.carried.contains(id);
	}

	/**
	 * Send a request.
	 * @param request the request, whose ownership passes to the connection
	 * @param id its id, which the response bears
	 * @param responseListener receives the response
	 */
	void send(FullHttpRequest request, String id, Listener responseListener) {
		this.listener = responseListener;
		this.carried.add(id, request.method());
		this.headRequested = request.method().equals(HttpMethod.HEAD);
		this.discardedCount = 0;
		this.decoder.requestSent(this.headRequested);
		this.idleNanosBeforeRequest = System.nanoTime() - this.idleSince;
		this.headReceived = false;
		this.informationalCount = 0;
		this.closeAfterResponse = false;
		this.requestWritten = this.channel.writeAndFlush(request);
	}

	/**
	 * Discard the response whose head the listener is processing if it is a late one to
	 * an earlier request and has an end. The response to the request in flight follows
	 * it, and ends the use of the connection.
	 * @param id the id in the head, which is not that of the request in flight
	 * @return whether the response is discarded; a limited number for each request is
	 */
	boolean tryDiscard(String id) {
		// In place of a response to HEAD, any response is read as one without a body.
		boolean another = !this.headRequested && this.framed && this.discardedCount < MAX_DISCARDED;
		if (!another || !this.carried.isReadable(id)) {
			return false;
		}
		this.discardedCount++;
		this.discarding = true;
		this.stopping = true;
		return true;
	}

	/**
	 * Give up the request in flight and close the connection; the listener is not called
	 * again.
	 */
	void abandon() {
		this.listener = null;
		this.completed = null;
		if (this.channel != null) {
			this.channel.close();
		}
	}

	/**
	 * Return whether the connection ended although nothing that was received on it is
	 * invalid.
	 * @return whether its other end closed or reset it
	 */
	boolean isClosedByEndpoint() {
		return this.closedByEndpoint;
	}

	@Override
	public void pause() {
		this.paused = true;
		this.channel.config().setAutoRead(false);
	}

	@Override
	public void resume() {
		this.paused = false;
		this.link.alive(System.nanoTime());
		this.channel.config().setAutoRead(true);
	}

	// While it is paused, nothing can arrive, which says nothing about the endpoint.
	boolean isPaused() {
		return this.paused;
	}

	/** Close the connection, after the response if it carries a request. */
	void closeAfterResponse() {
		this.stopping = true;
		if (this.listener == null) {
			this.channel.close();
		}
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		this.link.alive(System.nanoTime());
		try {
			if (message instanceof HttpObject part) {
				read(part);
			}
			else {
				// The endpoint has switched to another protocol, which nobody asked for.
				fail();
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void read(HttpObject part) {
		if (this.listener == null || part.decoderResult().isFailure()) {
			// Data that no request waits for, or that is not a valid response.
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
		this.informational = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
		// Nobody asked the endpoint to switch to another protocol.
		boolean switched = head.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
		if (this.informational && !switched && ++this.informationalCount <= MAX_INFORMATIONAL) {
			return;
		}
		boolean joined = containsStatusLine(head);
		if (this.informational || this.headReceived || (joined && isReused())) {
			fail();
			return;
		}
		this.headReceived = true;
		this.framed = HttpUtil.isTransferEncodingChunked(head)
				|| head.headers().contains(HttpHeaderNames.CONTENT_LENGTH) || hasNoBody(head.status());
		this.closeAfterResponse = joined || !this.framed || !HttpUtil.isKeepAlive(head);
		this.listener.headReceived(head);
	}

	// With or without a length.
	private static boolean hasNoBody(HttpResponseStatus status) {
		return status.equals(HttpResponseStatus.NO_CONTENT) || status.equals(HttpResponseStatus.NOT_MODIFIED);
	}

	// An endpoint may break off a late response and go on with the one that is due. A
	// service that sends such headers itself gets a new connection for each request.
	private static boolean containsStatusLine(HttpResponse head) {
		if (containsStatusLine(head.status().reasonPhrase())) {
			return true;
		}
		for (Map.Entry<String, String> header : head.headers()) {
			if (containsStatusLine(header.getValue())) {
				return true;
			}
		}
		return false;
	}

	private static boolean containsStatusLine(String text) {
		return text.contains(VERSION) && StatusLine.PATTERN.matcher(text).find();
	}

	private void readContent(HttpContent content) {
		boolean last = content instanceof LastHttpContent;
		if (this.informational) {
			return;
		}
		if (this.discarding) {
			this.discarding = !last;
			this.headReceived = !last;
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
		this.closedByEndpoint |= !this.framed;
		if (this.connectionReset || (!this.framed && !this.decoder.isInputEnded())) {
			fail();
			return;
		}
		this.completed = this.listener;
		this.listener = null;
	}

	private void reportCompletion() {
		Listener reported = this.completed;
		if (reported == null) {
			return;
		}
		this.completed = null;
		// An endpoint may respond before it has read the whole request. The next request
		// would then be written behind the rest of this one, which is still being sent.
		boolean reusable = !this.closeAfterResponse && !this.stopping && this.requestWritten.isSuccess()
				&& this.channel.isActive() && !this.decoder.isWithinResponse();
		if (!reusable) {
			this.channel.close();
		}
		reported.responseComplete(reusable);
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
		reportCompletion();
		if (this.listener == null && this.decoder.isWithinResponse()) {
			// The beginning of a response that no request waits for.
			this.channel.close();
		}
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
		if (event instanceof ChannelInputShutdownEvent) {
			ctx.close();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		this.connectionReset = true;
		this.closedByEndpoint = true;
		this.link.lost(LinkSign.RESET, System.nanoTime());
		fail();
		reportCompletion();
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		this.closedByEndpoint = true;
		fail();
		reportCompletion();
		this.onClosed.accept(this);
	}

	/**
	 * Keeps regular expressions out of the start of a process.
	 */
	private static final class StatusLine {

		private static final Pattern PATTERN = Pattern.compile("HTTP/1\\.[01] \\d{3}");

	}

	/**
	 * Receives the response to one request: a head, parts of the body, and then exactly
	 * one of completion and failure.
	 */
	interface Listener {

		/**
		 * The head of the response was received.
		 * @param head status and headers
		 */
		void headReceived(HttpResponse head);

		/**
		 * A part of the body was received.
		 * @param bytes the bytes, valid during the call
		 */
		void contentReceived(ByteBuf bytes);

		/** All data of one read from the socket was handed over. */
		void readComplete();

		/**
		 * The response is complete.
		 * @param reusable whether the connection may carry another request
		 */
		void responseComplete(boolean reusable);

		/** The connection ended, or the data received is not a valid response. */
		void connectionFailed();

	}

}
