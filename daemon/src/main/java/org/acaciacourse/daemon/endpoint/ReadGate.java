package org.acaciacourse.daemon.endpoint;

import java.util.function.BooleanSupplier;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;

/**
 * Stops reading from an endpoint while its caller is slow. The HTTP client asks for the
 * next read by itself after each one, so that the request is held back here; without this
 * a slow caller of a fast engine would fill the memory of the VM.
 * <p>
 * Not thread safe: belongs to the event loop of its connection.
 */
final class ReadGate extends ChannelDuplexHandler {

	static final String NAME = "read-gate";

	private ChannelHandlerContext context;

	private boolean paused;

	private boolean readPending;

	@Override
	public void handlerAdded(ChannelHandlerContext ctx) {
		this.context = ctx;
	}

	@Override
	public void read(ChannelHandlerContext ctx) {
		if (this.paused) {
			this.readPending = true;
			return;
		}
		ctx.read();
	}

	private void setPaused(boolean pause) {
		this.paused = pause;
		this.context.channel().config().setAutoRead(!pause);
		if (!pause && this.readPending) {
			this.readPending = false;
			this.context.read();
		}
	}

	/**
	 * Pause reading from a connection; called on its event loop.
	 * @param channel the connection
	 * @return whether it was not paused before
	 */
	static boolean pause(Channel channel) {
		if (!(channel.pipeline().get(NAME) instanceof ReadGate gate) || gate.paused) {
			return false;
		}
		gate.setPaused(true);
		return true;
	}

	/**
	 * Go on reading from a connection.
	 * @param channel the connection
	 * @param condition asked on its event loop; reading stays paused if it is false
	 */
	static void resume(Channel channel, BooleanSupplier condition) {
		channel.eventLoop().execute(() -> {
			if (condition.getAsBoolean() && channel.pipeline().get(NAME) instanceof ReadGate gate) {
				gate.setPaused(false);
			}
		});
	}

}
