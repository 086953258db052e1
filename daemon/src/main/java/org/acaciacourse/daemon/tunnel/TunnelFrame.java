package org.acaciacourse.daemon.tunnel;

import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;

/**
 * The frames of a tunnel: four bytes with the length, one with the type, and the content.
 * The client sends one {@link #OPEN} frame and then the bytes for the endpoint without
 * frames. The server sends frames only, so that the client can tell an orderly end of the
 * endpoint's connection from the loss of the server.
 * <p>
 * Immutable and thread safe.
 */
enum TunnelFrame {

	/** From the client: the endpoint that it wants. */
	OPEN,

	/** The result of opening. */
	OPENED,

	/** Bytes from the endpoint. */
	DATA,

	/** The endpoint has closed its connection in order. */
	END,

	/** The server stops: the connection must not carry another request. */
	STOPPING;

	/** Longer than any read from a socket. */
	private static final int MAX_FRAME_BYTES = 1 << 20;

	private static final int LENGTH_BYTES = 4;

	private static final TunnelFrame[] ALL = values();

	static LengthFieldBasedFrameDecoder decoder() {
		return decoder(MAX_FRAME_BYTES);
	}

	static LengthFieldBasedFrameDecoder decoder(int maxBytes) {
		return new LengthFieldBasedFrameDecoder(maxBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
	}

	/**
	 * Read the type of a frame; the content follows.
	 * @param frame the frame without its length
	 * @return the type, if it is a known one
	 */
	static Optional<TunnelFrame> read(ByteBuf frame) {
		int type = (frame.isReadable()) ? frame.readByte() : -1;
		return (type >= 0 && type < ALL.length) ? Optional.of(ALL[type]) : Optional.empty();
	}

	/**
	 * Return the bytes that precede the content of a frame.
	 * @param contentBytes the size of the content
	 * @return length and type
	 */
	ByteBuf header(int contentBytes) {
		return Unpooled.buffer(LENGTH_BYTES + 1).writeInt(contentBytes + 1).writeByte(ordinal());
	}

	/**
	 * Return a frame.
	 * @param content the content
	 * @return its bytes
	 */
	ByteBuf of(byte... content) {
		return Unpooled.wrappedBuffer(header(content.length), Unpooled.wrappedBuffer(content));
	}

}
