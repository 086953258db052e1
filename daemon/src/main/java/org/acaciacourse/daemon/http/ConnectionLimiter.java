package org.acaciacourse.daemon.http;

import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.AttributeKey;
import org.acaciacourse.core.code.ResultCode;

/**
 * Limits the number of open connections. A connection over the limit takes the place of
 * the one that has waited longest for a complete request, so that callers who only hold
 * connections do not keep others out; if there is none, it gets a 503 response and is
 * closed, and an open one is closed after its next response. The accepted ones are kept
 * in a set for the shutdown.
 * <p>
 * Thread safe.
 */
@ChannelHandler.Sharable
final class ConnectionLimiter extends ChannelInboundHandlerAdapter {

	private static final AttributeKey<Boolean> CLOSING = AttributeKey.valueOf(ConnectionLimiter.class, "closing");

	private final int maxConnections;

	private final RequestHandler handler;

	private final AtomicInteger count = new AtomicInteger();

	private final Set<Channel> channels = ConcurrentHashMap.newKeySet();

	ConnectionLimiter(int maxConnections, RequestHandler handler) {
		this.maxConnections = maxConnections;
		this.handler = handler;
	}

	/**
	 * Return whether a connection accepts no further requests.
	 * @param channel the connection, or an HTTP/2 stream of it
	 * @return whether it is to be closed after the current response
	 */
	static boolean isClosing(Channel channel) {
		Channel connection = (channel.parent() instanceof io.netty.channel.socket.SocketChannel) ? channel.parent()
				: channel;
		return Boolean.TRUE.equals(connection.attr(CLOSING).get());
	}

	static void markClosing(Channel connection) {
		connection.attr(CLOSING).set(true);
	}

	Set<Channel> channels() {
		return this.channels;
	}

	@Override
	public void channelActive(ChannelHandlerContext ctx) {
		if (this.count.incrementAndGet() > this.maxConnections && !closeLongestIdle()) {
			closeOneAfterItsResponse();
			refuse(ctx);
			return;
		}
		ConnectionUse.of(ctx.channel());
		this.channels.add(ctx.channel());
		ctx.fireChannelActive();
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		this.count.decrementAndGet();
		this.channels.remove(ctx.channel());
		ctx.fireChannelInactive();
	}

	private boolean closeLongestIdle() {
		long now = System.nanoTime();
		Optional<Channel> longest = this.channels.stream()
			.filter((channel) -> ConnectionUse.of(channel).mayBeClosed(now))
			.min(Comparator.comparing((Channel channel) -> ConnectionUse.of(channel).isUnread())
				.thenComparing((channel) -> -ConnectionUse.of(channel).idleNanos(now)));
		longest.ifPresent((channel) -> {
			// Not chosen again while it is being closed on its event loop.
			this.channels.remove(channel);
			channel.close();
		});
		return longest.isPresent();
	}

	// Callers who use all connections without a pause give them up in turn.
	private void closeOneAfterItsResponse() {
		long now = System.nanoTime();
		this.channels.stream()
			.filter((channel) -> !isClosing(channel) && channel.pipeline().get(ConnectionInitializer.HTTP2) == null)
			.max(Comparator.comparingLong((channel) -> ConnectionUse.of(channel).idleNanos(now)))
			.ifPresent(ConnectionLimiter::markClosing);
	}

	private void refuse(ChannelHandlerContext ctx) {
		this.handler.refused(ResultCode.TOO_MANY_CONNECTIONS);
		String body = Refusal.notRun(ResultCode.TOO_MANY_CONNECTIONS).json();
		String text = "HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/json\r\nretry-after: 1\r\n"
				+ "connection: close\r\ncontent-length: " + body.length() + "\r\n\r\n" + body;
		ctx.writeAndFlush(Unpooled.copiedBuffer(text, io.netty.util.CharsetUtil.US_ASCII))
			.addListener(ChannelFutureListener.CLOSE);
	}

}
