package org.acaciacourse.daemon.relay;

import java.io.IOException;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.util.ReferenceCountUtil;
import org.acaciacourse.daemon.codec.ThriftBytes;
import org.acaciacourse.daemon.inner.SharedKey;
import org.acaciacourse.protocol.generated.RelayOpenRecord;
import org.acaciacourse.protocol.generated.RelayOpenedRecord;

/**
 * The client's end of a relayed connection. Handlers behind it see the connection as if
 * it led to the endpoint: they read the endpoint's bytes, a close if the endpoint closed,
 * and a failure if the endpoint or the relay was lost.
 * <p>
 * Not thread safe: belongs to the event loop of its connection.
 */
public final class RelayClientHandler extends ChannelInboundHandlerAdapter {

	private final SharedKey key;

	private final String instance;

	private final Consumer<RelayResult> onResult;

	private final Runnable onStopping;

	private boolean resultKnown;

	private boolean ended;

	private RelayClientHandler(SharedKey key, String instance, Consumer<RelayResult> onResult, Runnable onStopping) {
		this.key = key;
		this.instance = instance;
		this.onResult = onResult;
		this.onStopping = onStopping;
	}

	/**
	 * Add the handlers of a relayed connection.
	 * @param pipeline the pipeline of a connection to a relay
	 * @param key the key of the inner connections
	 * @param instance the endpoint to connect to
	 * @param onResult is told once whether the endpoint is connected
	 * @param onStopping is told that the connection must not carry another request
	 */
	public static void add(ChannelPipeline pipeline, SharedKey key, String instance, Consumer<RelayResult> onResult,
			Runnable onStopping) {
		pipeline.addLast(RelayFrame.decoder());
		pipeline.addLast(new RelayClientHandler(key, instance, onResult, onStopping));
	}

	@Override
	public void channelActive(ChannelHandlerContext ctx) {
		byte[] open = ThriftBytes.encode(new RelayOpenRecord(this.key.text(), this.instance));
		ctx.writeAndFlush(RelayFrame.OPEN.of(open));
		ctx.fireChannelActive();
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		ByteBuf frame = (ByteBuf) message;
		switch (RelayFrame.read(frame).orElse(RelayFrame.OPEN)) {
			case DATA -> {
				ctx.fireChannelRead(frame);
				return;
			}
			case OPENED -> resultReceived(frame);
			case END -> {
				this.ended = true;
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
		tell(ThriftBytes.decode(bytes, new RelayOpenedRecord())
			.toJavaOptional()
			.flatMap((record) -> RelayResult.ofNumber(record.getResult()))
			.orElse(RelayResult.NO_ANSWER));
	}

	private void tell(RelayResult result) {
		if (!this.resultKnown) {
			this.resultKnown = true;
			this.onResult.accept(result);
		}
	}

	// The end of the relay's process closes the connection like an orderly end; only the
	// frame tells them apart.
	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		if (!this.resultKnown) {
			tell(RelayResult.NO_ANSWER);
		}
		else if (!this.ended) {
			ctx.fireExceptionCaught(new IOException("relayed connection to " + this.instance + " was lost"));
		}
		ctx.fireChannelInactive();
	}

}
