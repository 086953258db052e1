package org.acaciacourse.daemon.http;

import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http2.DefaultHttp2PingFrame;
import io.netty.handler.codec.http2.Http2PingFrame;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * Detects dead HTTP/2 connections: sends a PING periodically and closes the connection if
 * the previous one has not been acknowledged. TCP alone would take many minutes to detect
 * the loss, and the requests of a disconnected caller would occupy their slots at the
 * engines for as long.
 * <p>
 * Not thread safe: belongs to the event loop of its connection.
 */
final class Http2Keepalive extends ChannelInboundHandlerAdapter {

	private static final long PERIOD_SECONDS = 15;

	private ScheduledFuture<?> timer;

	private boolean awaitingAck;

	@Override
	public void handlerAdded(ChannelHandlerContext ctx) {
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
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		ctx.close();
	}

}
