package org.acaciacourse.daemon.http;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http2.DefaultHttp2PingFrame;
import io.netty.handler.codec.http2.Http2Connection;
import io.netty.handler.codec.http2.Http2PingFrame;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * Detects dead HTTP/2 connections: sends a PING periodically and closes the connection if
 * the previous one has not been acknowledged. TCP alone would take many minutes to detect
 * the loss, and the requests of a disconnected caller would occupy their slots at the
 * engines for as long. It also closes a connection that has had no stream for the idle
 * timeout, and for twice that at the latest.
 * <p>
 * Not thread safe: belongs to the event loop of its connection.
 */
final class Http2Keepalive extends ChannelInboundHandlerAdapter {

	private static final long PERIOD_SECONDS = 15;

	private final Http2Connection connection;

	private final Duration idleTimeout;

	private ScheduledFuture<?> timer;

	private ScheduledFuture<?> idleTimer;

	private boolean awaitingAck;

	/** Whether there were streams when it was looked at last. */
	private boolean hadStreams;

	/** The latest stream when it was looked at last. */
	private int lastStream;

	/**
	 * Create a handler.
	 * @param connection the streams of the connection
	 * @param idleTimeout the time after which a connection without streams is closed
	 */
	Http2Keepalive(Http2Connection connection, Duration idleTimeout) {
		this.connection = connection;
		this.idleTimeout = idleTimeout;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext ctx) {
		long idleMillis = this.idleTimeout.toMillis();
		this.idleTimer = ctx.executor()
			.scheduleAtFixedRate(() -> closeIfIdle(ctx), idleMillis, idleMillis, TimeUnit.MILLISECONDS);
		this.timer = ctx.executor()
			.scheduleAtFixedRate(() -> ping(ctx), PERIOD_SECONDS, PERIOD_SECONDS, TimeUnit.SECONDS);
	}

	private void ping(ChannelHandlerContext ctx) {
		if (this.awaitingAck) {
			ctx.close();
			return;
		}
		this.awaitingAck = true;
		ctx.writeAndFlush(new DefaultHttp2PingFrame(0));
	}

	private void closeIfIdle(ChannelHandlerContext ctx) {
		int latest = this.connection.remote().lastStreamCreated();
		boolean hasStreams = this.connection.numActiveStreams() > 0;
		if (!hasStreams && !this.hadStreams && latest == this.lastStream) {
			ctx.close();
		}
		this.hadStreams = hasStreams;
		this.lastStream = latest;
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		if (message instanceof Http2PingFrame ping && ping.ack()) {
			this.awaitingAck = false;
		}
		ReferenceCountUtil.release(message);
	}

	@Override
	public void handlerRemoved(ChannelHandlerContext ctx) {
		this.timer.cancel(false);
		this.idleTimer.cancel(false);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		ctx.close();
	}

}
