package org.acaciacourse.daemon.tunnel;

import java.io.IOException;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.util.ReferenceCountUtil;
import org.acaciacourse.daemon.codec.ThriftBytes;
import org.acaciacourse.daemon.inner.SharedKey;
import org.acaciacourse.protocol.generated.TunnelOpenRecord;
import org.acaciacourse.protocol.generated.TunnelOpenedRecord;

/**
 * The client's end of a tunnel. Handlers behind it see the connection as if it led to the
 * endpoint: they read the endpoint's bytes, the end of the input if the endpoint closed
 * in order, and a failure if the endpoint or the server was lost.
 * <p>
 * Not thread safe: belongs to the event loop of its connection.
 */
public final class TunnelClientHandler extends ChannelInboundHandlerAdapter {

	private final TunnelOpenRecord open;

	private final Consumer<TunnelResult> onResult;

	private final Runnable onStopping;

	private boolean resultKnown;

	private boolean ended;

	private TunnelClientHandler(TunnelOpenRecord open, Consumer<TunnelResult> onResult, Runnable onStopping) {
		this.open = open;
		this.onResult = onResult;
		this.onStopping = onStopping;
	}

	/**
	 * Add the handlers of a tunnel.
	 * @param pipeline the pipeline of a connection to a tunnel server
	 * @param key the key of the inner connections
	 * @param instance the endpoint to connect to
	 * @param onResult is told once whether the endpoint is connected
	 * @param onStopping is told that the connection must not carry another request
	 */
	public static void add(ChannelPipeline pipeline, SharedKey key, String instance, Consumer<TunnelResult> onResult,
			Runnable onStopping) {
		add(pipeline, new TunnelOpenRecord(key.text(), instance), onResult, onStopping);
	}

	private static void add(ChannelPipeline pipeline, TunnelOpenRecord open, Consumer<TunnelResult> onResult,
			Runnable onStopping) {
		pipeline.addLast(TunnelFrame.decoder());
		pipeline.addLast(new TunnelClientHandler(open, onResult, onStopping));
	}

	/**
	 * Add the handlers of a connection that only tells the server what an endpoint stated
	 * in a response through it.
	 * @param pipeline the pipeline of a connection to a tunnel server
	 * @param key the key of the inner connections
	 * @param statement the statement
	 * @param onResult is told once whether the server keeps it
	 */
	public static void addStatement(ChannelPipeline pipeline, SharedKey key, EndpointStatement statement,
			Consumer<TunnelResult> onResult) {
		add(pipeline, statement.record(key.text()), onResult, () -> {
		});
	}

	@Override
	public void channelActive(ChannelHandlerContext ctx) {
		ctx.writeAndFlush(TunnelFrame.OPEN.of(ThriftBytes.encode(this.open)));
		ctx.fireChannelActive();
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		ByteBuf frame = (ByteBuf) message;
		switch (TunnelFrame.read(frame).orElse(TunnelFrame.OPEN)) {
			case DATA -> {
				ctx.fireChannelRead(frame);
				return;
			}
			case OPENED -> resultReceived(frame);
			case END -> {
				this.ended = true;
				ctx.fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
				ctx.close();
			}
			case STOPPING -> this.onStopping.run();
			case OPEN -> ctx.close();
		}
		ReferenceCountUtil.release(frame);
	}

	private void resultReceived(ByteBuf content) {
		byte[] bytes = new byte[content.readableBytes()];
		content.readBytes(bytes);
		tell(ThriftBytes.decode(bytes, new TunnelOpenedRecord())
			.toJavaOptional()
			.flatMap((record) -> TunnelResult.ofNumber(record.getResult()))
			.orElse(TunnelResult.NO_ANSWER));
	}

	private void tell(TunnelResult result) {
		if (!this.resultKnown) {
			this.resultKnown = true;
			this.onResult.accept(result);
		}
	}

	// The end of the server's process closes the connection like an orderly end; only the
	// frame tells them apart.
	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		if (!this.resultKnown) {
			tell(TunnelResult.NO_ANSWER);
		}
		else if (!this.ended) {
			ctx.fireExceptionCaught(new IOException("tunnel to " + this.open.getInstance() + " was lost"));
		}
		ctx.fireChannelInactive();
	}

}
