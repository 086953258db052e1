package org.acaciacourse.daemon.http;

import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import org.acaciacourse.core.code.ResultCode;

/**
 * Decodes the requests of an HTTP/1.1 connection within the memory budget: a head is kept
 * as the bytes that arrived until it is complete, and becomes objects only if there is
 * room for them. While the response to a request is pending, nothing that follows is read
 * or decoded. Each turn of the event loop begins one request at the most.
 * <p>
 * Invariant: what the decoder holds between two reads is counted.
 * <p>
 * Not thread safe: belongs to the event loop of its connection.
 */
final class BoundedRequestDecoder extends HttpRequestDecoder {

	private final HeadScanner scanner = new HeadScanner();

	private final Receiver receiver;

	private final int maxHeadBytes;

	private boolean withinRequest;

	private boolean reading;

	private boolean decodedInTurn;

	/**
	 * Create a decoder.
	 * @param limits the limits on a request
	 * @param receiver the reader of the requests
	 */
	BoundedRequestDecoder(HttpLimits limits, Receiver receiver) {
		super(new HttpDecoderConfig().setMaxInitialLineLength(HttpLimits.MAX_LINE)
			.setMaxHeaderSize(limits.maxHeader())
			.setTrailersFactory(new DiscardedTrailersFactory()));
		this.receiver = receiver;
		this.maxHeadBytes = HttpLimits.MAX_LINE + limits.maxHeader();
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
		this.decodedInTurn = false;
		this.reading = true;
		try {
			super.channelRead(ctx, message);
		}
		finally {
			this.reading = false;
		}
		if (!ctx.isRemoved()) {
			endTurn(ctx);
		}
	}

	private void endTurn(ChannelHandlerContext ctx) {
		ByteBuf rest = internalBuffer();
		boolean waits = rest.isReadable() && !this.withinRequest && !mayBegin();
		ctx.channel().config().setAutoRead(!waits);
		this.receiver.buffered((rest.isReadable()) ? rest.capacity() : 0, waits);
		if (waits && this.receiver.isReady()) {
			// A task that adds another one would run on before connections are read.
			ctx.executor().schedule(() -> resume(ctx), 0, TimeUnit.NANOSECONDS);
		}
	}

	// One request in a turn: a caller that sends many at once must not keep the event
	// loop from the others.
	private boolean mayBegin() {
		return !this.decodedInTurn && this.receiver.isReady();
	}

	/**
	 * Go on with what arrived while the response was pending.
	 * @param ctx the context of this decoder
	 */
	void resume(ChannelHandlerContext ctx) {
		// At the end of a read it is looked after by itself.
		if (this.reading || ctx.isRemoved()) {
			return;
		}
		try {
			channelRead(ctx, Unpooled.EMPTY_BUFFER);
		}
		catch (Exception ex) {
			ctx.fireExceptionCaught(ex);
		}
	}

	@Override
	protected void decode(ChannelHandlerContext ctx, ByteBuf input, List<Object> out) throws Exception {
		if (this.withinRequest) {
			decodeRequest(ctx, input, out);
		}
		else if (mayBegin()) {
			decodeHead(ctx, input, out);
		}
	}

	private void decodeHead(ChannelHandlerContext ctx, ByteBuf input, List<Object> out) throws Exception {
		if (!this.scanner.scan(input)) {
			if (!this.scanner.hasBegun()) {
				// Blank lines after a body are no head that would have to be completed.
				input.skipBytes(input.readableBytes());
				this.scanner.reset();
			}
			else if (input.readableBytes() > this.maxHeadBytes) {
				this.receiver.refuse(ResultCode.HEADERS_TOO_LARGE);
			}
			return;
		}
		long cost = this.scanner.cost();
		this.scanner.reset();
		if (!this.receiver.takeHead(cost)) {
			this.receiver.refuse(ResultCode.NO_MEMORY);
			return;
		}
		this.withinRequest = true;
		this.decodedInTurn = true;
		int decoded = out.size();
		decodeRequest(ctx, input, out);
		// A head that the decoder does not see the end of would be parsed unseen.
		if (out.size() == decoded) {
			this.receiver.refuse(ResultCode.MALFORMED_REQUEST);
		}
	}

	private void decodeRequest(ChannelHandlerContext ctx, ByteBuf input, List<Object> out) throws Exception {
		super.decode(ctx, input, out);
		if (!out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent) {
			this.withinRequest = false;
		}
	}

	/** What reads the requests. */
	interface Receiver {

		/**
		 * Return whether the next request may be decoded.
		 * @return whether no response is pending
		 */
		boolean isReady();

		/**
		 * Take memory for the objects of a complete head.
		 * @param cost the bytes
		 * @return whether there is room
		 */
		boolean takeHead(long cost);

		/**
		 * Count what the decoder holds.
		 * @param bytes the size of its buffer, 0 if there is nothing left to decode
		 * @param pipelined whether it is input that waits for a request before it, so
		 * that reading is paused
		 */
		void buffered(long bytes, boolean pipelined);

		/**
		 * Refuse the request that is being received; nothing more is decoded.
		 * @param code the reason
		 */
		void refuse(ResultCode code);

	}

}
