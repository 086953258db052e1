package org.acaciacourse.daemon.route;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Decodes the responses on a connection to an endpoint, and tells whether it keeps a part
 * of one. Invariant: each response is read as one to the request in flight, whichever
 * request it answers.
 * <p>
 * Not thread safe: belongs to the event loop of the connection.
 */
final class EndpointResponseDecoder extends HttpResponseDecoder {

	private boolean headRequested;

	private boolean withinResponse;

	private boolean inputEnded;

	/**
	 * Create a decoder.
	 * @param maxInitialLineBytes the longest status line or chunk extension
	 * @param maxHeaderBytes the most bytes of the headers, or of the trailers
	 * @param maxChunkBytes the most bytes of a body that are handed over at once
	 */
	EndpointResponseDecoder(int maxInitialLineBytes, int maxHeaderBytes, int maxChunkBytes) {
		super(maxInitialLineBytes, maxHeaderBytes, maxChunkBytes);
	}

	/**
	 * A request is about to be sent.
	 * @param head whether its method is HEAD, so that its response has no body
	 */
	void requestSent(boolean head) {
		this.headRequested = head;
	}

	/**
	 * Return whether a part of a response has arrived whose rest has not.
	 * @return whether it has, even if it is a part of the status line
	 */
	boolean isWithinResponse() {
		return this.withinResponse || actualReadableBytes() > 0;
	}

	/**
	 * Return whether the endpoint has closed the connection in order. The end of a
	 * response without a length is decoded at any end of the connection.
	 * @return whether the end of the input was received
	 */
	boolean isInputEnded() {
		return this.inputEnded;
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
		this.inputEnded |= event instanceof ChannelInputShutdownEvent;
		super.userEventTriggered(ctx, event);
	}

	@Override
	protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
		int decoded = out.size();
		super.decode(ctx, buffer, out);
		if (out.size() > decoded && out.get(out.size() - 1) instanceof LastHttpContent) {
			this.withinResponse = false;
		}
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

}
