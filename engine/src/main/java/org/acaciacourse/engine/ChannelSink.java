package org.acaciacourse.engine;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AttributeKey;
import io.netty.util.ReferenceCountUtil;

/**
 * Writes an answer to a connection, plain or streamed, with the faults that were switched
 * on when the request came.
 * <p>
 * Not thread safe: called on the thread of the batch; the connection's own thread does
 * the writing.
 */
final class ChannelSink implements AnswerSink {

	/** Set on a connection that went silent for good. */
	static final AttributeKey<Boolean> SILENT = AttributeKey.valueOf("silent");

	private static final String ID_HEADER = "X-Request-Id";

	private final Channel channel;

	private final String id;

	private final boolean streamed;

	private final Faults faults;

	private boolean begun;

	private boolean ended;

	ChannelSink(Channel channel, String id, boolean streamed, Faults faults) {
		this.channel = channel;
		this.id = id;
		this.streamed = streamed;
		this.faults = faults;
	}

	@Override
	public void token(int index, List<String> tokens) {
		if (!this.streamed || this.ended) {
			return;
		}
		begin();
		if (this.faults.truncate() && index >= tokens.size() / 2) {
			cancelled();
			return;
		}
		boolean last = index + 1 == tokens.size();
		write(new DefaultHttpContent(text("id: " + index + "\ndata: " + chunk(tokens.get(index), last) + "\n\n")));
	}

	@Override
	public void end(List<String> tokens) {
		if (this.ended) {
			return;
		}
		this.ended = true;
		if (this.streamed) {
			begin();
			write(new DefaultHttpContent(text("data: [DONE]\n\n")));
			write(LastHttpContent.EMPTY_LAST_CONTENT);
		}
		else {
			whole(tokens);
		}
	}

	@Override
	public void cancelled() {
		this.ended = true;
		close();
	}

	@Override
	public boolean isOpen() {
		return this.channel.isActive();
	}

	private void begin() {
		if (this.begun) {
			return;
		}
		this.begun = true;
		HttpResponse head = head("text/event-stream");
		HttpUtil.setTransferEncodingChunked(head, true);
		write(head);
	}

	private void whole(List<String> tokens) {
		ByteBuf body = text(answer(tokens).toString());
		HttpResponse head = head("application/json");
		HttpUtil.setContentLength(head, body.readableBytes());
		write(head);
		if (this.faults.truncate()) {
			write(new DefaultHttpContent(body.readRetainedSlice(body.readableBytes() / 2)));
			body.release();
			close();
			return;
		}
		write(new DefaultHttpContent(body));
		write(LastHttpContent.EMPTY_LAST_CONTENT);
	}

	private HttpResponse head(String contentType) {
		HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
		head.headers().set(ID_HEADER, this.id).set(HttpHeaderNames.CONTENT_TYPE, contentType);
		head.headers().set(HttpHeaderNames.CACHE_CONTROL, HttpHeaderValues.NO_CACHE);
		return head;
	}

	private ObjectNode chunk(String token, boolean last) {
		ObjectNode chunk = JsonNodeFactory.instance.objectNode().put("id", this.id);
		chunk.put("object", "chat.completion.chunk");
		ObjectNode choice = chunk.withArray("choices").addObject().put("index", 0);
		choice.putObject("delta").put("content", token);
		choice.put("finish_reason", (last) ? "stop" : null);
		return chunk;
	}

	private ObjectNode answer(List<String> tokens) {
		ObjectNode answer = JsonNodeFactory.instance.objectNode().put("id", this.id).put("object", "chat.completion");
		ObjectNode choice = answer.withArray("choices").addObject().put("index", 0);
		choice.putObject("message").put("role", "assistant").put("content", String.join("", tokens));
		choice.put("finish_reason", "stop");
		answer.putObject("usage").put("completion_tokens", tokens.size());
		return answer;
	}

	private static ByteBuf text(String text) {
		return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
	}

	private void close() {
		afterDelay(this.channel::close);
	}

	private void write(Object part) {
		afterDelay(() -> writeNow(this.channel, part));
	}

	private void afterDelay(Runnable action) {
		if (this.faults.lateMillis() > 0) {
			this.channel.eventLoop().schedule(action, this.faults.lateMillis(), TimeUnit.MILLISECONDS);
		}
		else {
			this.channel.eventLoop().execute(action);
		}
	}

	/**
	 * Write to a connection unless it is silent.
	 * @param channel the connection
	 * @param part what to write
	 */
	static void writeNow(Channel channel, Object part) {
		if (channel.hasAttr(SILENT)) {
			ReferenceCountUtil.release(part);
			return;
		}
		channel.writeAndFlush(part);
	}

}
