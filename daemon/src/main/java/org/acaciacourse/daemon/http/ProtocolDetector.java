package org.acaciacourse.daemon.http;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.util.CharsetUtil;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * Distinguishes HTTP/2 with prior knowledge from HTTP/1.1 by the first bytes of a
 * connection.
 * <p>
 * Not thread safe: belongs to one connection.
 */
final class ProtocolDetector extends ByteToMessageDecoder {

	private static final ByteBuf PREFACE = Unpooled
		.unreleasableBuffer(Unpooled.copiedBuffer("PRI * HTTP/2.0\r\n", CharsetUtil.US_ASCII));

	private final Duration timeout;

	private final Consumer<ChannelPipeline> http1;

	private final Consumer<ChannelPipeline> http2;

	private ScheduledFuture<?> timer;

	ProtocolDetector(Duration timeout, Consumer<ChannelPipeline> http1, Consumer<ChannelPipeline> http2) {
		this.timeout = timeout;
		this.http1 = http1;
		this.http2 = http2;
	}

	// Without the timeout, a connection that never sends enough bytes to be classified
	// would count against the connection limit for ever.
	@Override
	public void handlerAdded(ChannelHandlerContext ctx) {
		this.timer = ctx.executor().schedule(() -> ctx.close(), this.timeout.toMillis(), TimeUnit.MILLISECONDS);
	}

	@Override
	protected void handlerRemoved0(ChannelHandlerContext ctx) {
		this.timer.cancel(false);
	}

	@Override
	protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
		int comparedBytes = Math.min(in.readableBytes(), PREFACE.readableBytes());
		boolean matchesPreface = ByteBufUtil.equals(in, in.readerIndex(), PREFACE, PREFACE.readerIndex(),
				comparedBytes);
		if (matchesPreface && comparedBytes < PREFACE.readableBytes()) {
			return;
		}
		Consumer<ChannelPipeline> chosen = (matchesPreface) ? this.http2 : this.http1;
		chosen.accept(ctx.pipeline());
		ctx.pipeline().remove(this);
	}

}
