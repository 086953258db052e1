package org.acaciacourse.daemon.endpoint;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Decodes the responses on a connection to an endpoint or to the platform, and tells
 * whether it keeps a part of one. Invariants: each response is read as one to the request
 * in flight, whichever request it answers; the lines of each head and of its trailers
 * were valid before they are decoded. What is no response ends with an object whose
 * decoding has failed, and what follows it is discarded.
 * <p>
 * Not thread safe: belongs to the event loop of the connection.
 */
public final class EndpointResponseDecoder extends HttpResponseDecoder {

	private final ResponseLineChecker lines = new ResponseLineChecker();

	private boolean headRequested;

	private boolean withinResponse;

	private Section section = Section.HEAD;

	private boolean invalid;

	private boolean inputEnded;

	/**
	 * Create a decoder.
	 * @param maxInitialLineBytes the longest status line or chunk extension
	 * @param maxHeaderBytes the most bytes of the headers, or of the trailers
	 * @param maxChunkBytes the most bytes of a body that are handed over at once
	 */
	public EndpointResponseDecoder(int maxInitialLineBytes, int maxHeaderBytes, int maxChunkBytes) {
		super(maxInitialLineBytes, maxHeaderBytes, maxChunkBytes);
	}

	/**
	 * A request is about to be sent.
	 * @param head whether its method is HEAD, so that its response has no body
	 */
	public void requestSent(boolean head) {
		this.headRequested = head;
	}

	/**
	 * Return whether a part of a response has arrived whose rest has not.
	 * @return whether it has, even if it is a part of the status line
	 */
	public boolean isWithinResponse() {
		return this.withinResponse || actualReadableBytes() > 0;
	}

	/**
	 * Return whether the endpoint has closed the connection in order. The end of a
	 * response without a length is decoded at any end of the connection.
	 * @return whether the end of the input was received
	 */
	public boolean isInputEnded() {
		return this.inputEnded;
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
		this.inputEnded |= event instanceof ChannelInputShutdownEvent;
		super.userEventTriggered(ctx, event);
	}

	@Override
	protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
		if (this.invalid) {
			buffer.skipBytes(buffer.readableBytes());
		}
		else if (this.section.hasLines && !this.lines.isValid(buffer)) {
			this.invalid = true;
			buffer.skipBytes(buffer.readableBytes());
			out.add(invalidResponse());
		}
		else {
			decodeValid(ctx, buffer, out);
		}
	}

	private void decodeValid(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
		int start = buffer.readerIndex();
		int decoded = out.size();
		super.decode(ctx, buffer, out);
		if (out.size() > decoded) {
			afterObjects(out, decoded);
		}
		else if (this.section == Section.CHUNKS && isLastChunkSize(buffer, start)) {
			this.section = Section.TRAILERS;
			this.lines.beginTrailers();
		}
	}

	private void afterObjects(List<Object> out, int first) {
		if (out.get(out.size() - 1) instanceof LastHttpContent) {
			this.withinResponse = false;
			this.section = Section.HEAD;
			this.lines.beginHead();
		}
		else if (out.get(first) instanceof HttpMessage head) {
			this.section = (HttpUtil.isTransferEncodingChunked(head)) ? Section.CHUNKS : Section.BODY;
		}
	}

	// The decoder returns behind the line with the size of the last chunk, and has no
	// objects for it.
	private static boolean isLastChunkSize(ByteBuf buffer, int start) {
		int index = start;
		while (index < buffer.readerIndex() && buffer.getByte(index) == '0') {
			index++;
		}
		return index > start && (index == buffer.readerIndex() || Character.digit(buffer.getByte(index), 16) < 0);
	}

	private static HttpObject invalidResponse() {
		DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.BAD_GATEWAY);
		response.setDecoderResult(
				DecoderResult.failure(new IllegalArgumentException("invalid status line or header field line")));
		return response;
	}

	@Override
	protected HttpMessage createMessage(String[] initialLine) {
		this.withinResponse = true;
		return super.createMessage(initialLine);
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		return this.headRequested || super.isContentAlwaysEmpty(message);
	}

	/** What is decoded next. */
	private enum Section {

		/** The status line and the fields. */
		HEAD(true),

		/** A body with a length, or one that ends with the connection. */
		BODY(false),

		/** A chunked body. */
		CHUNKS(false),

		/** The fields behind the last chunk. */
		TRAILERS(true);

		private final boolean hasLines;

		Section(boolean hasLines) {
			this.hasLines = hasLines;
		}

	}

}
