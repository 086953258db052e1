package org.acaciacourse.daemon.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.http2.Http2StreamChannel;

/**
 * Reads what a connection or an HTTP/2 stream holds for its caller: bytes that were
 * written to it and not yet sent, because the caller does not read, or because the flow
 * control of HTTP/2 does not permit more.
 * <p>
 * Not thread safe: belongs to the event loop of the connection.
 */
final class HeldBytes {

	private HeldBytes() {
	}

	/**
	 * Return the bytes that are held.
	 * @param channel the connection or stream
	 * @return the bytes, 0 once it is closed
	 */
	static long of(Channel channel) {
		if (!channel.isActive()) {
			return 0;
		}
		if (channel instanceof Http2StreamChannel) {
			return ofStream(channel);
		}
		ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
		return (buffer != null) ? buffer.totalPendingWriteBytes() : 0;
	}

	// A stream has no buffer of its own; its distance from its water marks tells what the
	// connection holds for it. If the connection alone is not writable, the distance is
	// not known, and what is held is at most the lower mark.
	private static long ofStream(Channel stream) {
		ChannelConfig config = stream.config();
		if (stream.isWritable()) {
			return config.getWriteBufferHighWaterMark() + 1 - stream.bytesBeforeUnwritable();
		}
		return config.getWriteBufferLowWaterMark() + Math.max(0, stream.bytesBeforeWritable() - 1);
	}

	/**
	 * Return the part of the held bytes that was not sent. A buffer that was sent in part
	 * is held as a whole.
	 * @param channel the connection or stream
	 * @return the bytes, 0 once it is closed
	 */
	static long unsent(Channel channel) {
		long held = of(channel);
		if (held == 0 || channel instanceof Http2StreamChannel) {
			return held;
		}
		return held - channel.unsafe().outboundBuffer().currentProgress();
	}

}
