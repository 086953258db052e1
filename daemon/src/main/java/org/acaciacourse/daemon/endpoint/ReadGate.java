package org.acaciacourse.daemon.endpoint;

import java.util.function.BooleanSupplier;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;

/**
 * Pauses reading from an endpoint while the caller reads too slowly. The HTTP client
 * requests the next read itself after each one, so that this handler has to hold back the
 * read request. Otherwise a slow caller of a fast engine would exhaust the memory of the
 * VM.
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
	 * Pause reading from a connection. Must be called on its event loop.
	 * @param channel the connection
	 * @return whether reading was not paused before
	 */
	static boolean pause(Channel channel) {
		if (!(channel.pipeline().get(NAME) instanceof ReadGate gate) || gate.paused) {
			return false;
		}
		gate.setPaused(true);
		return true;
	}

	/**
	 * Resume reading from a connection; may be called on any thread.
	 * @param channel the connection
	 * @param condition evaluated on the event loop of the connection; reading is not
	 * resumed if it is false
	 */
	static void resume(Channel channel, BooleanSupplier condition) {
		channel.eventLoop().execute(() -> {
			if (condition.getAsBoolean() && channel.pipeline().get(NAME) instanceof ReadGate gate) {
				gate.setPaused(false);
			}
		});
	}

}
