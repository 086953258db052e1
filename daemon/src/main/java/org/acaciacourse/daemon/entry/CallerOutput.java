package org.acaciacourse.daemon.entry;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.util.concurrent.EventExecutor;
import org.acaciacourse.daemon.http.CallerResponse;
import org.acaciacourse.daemon.http.Refusal;

/**
 * Writes the answer of one request to its caller, under the id of the request. Events
 * that arrive together are written and flushed together.
 * <p>
 * Not thread safe: belongs to the event loop of the caller.
 */
final class CallerOutput {

	private static final byte[] DONE = "data: [DONE]\n\n".getBytes(StandardCharsets.US_ASCII);

	private static final byte[] COMMENT = ": keep-alive\n\n".getBytes(StandardCharsets.US_ASCII);

	private static final byte[] ID = "id: ".getBytes(StandardCharsets.US_ASCII);

	private static final byte[] DATA = "\ndata: ".getBytes(StandardCharsets.US_ASCII);

	private static final byte[] END = "\n\n".getBytes(StandardCharsets.US_ASCII);

	private static final String EVENT_STREAM = "text/event-stream";

	private static final Set<String> KEPT_BACK = Set.of("connection", "keep-alive", "transfer-encoding",
			"content-length", "x-request-id", "x-not-run", "trailer", "upgrade", "proxy-connection");

	private final CallerResponse response;

	private final String requestId;

	private final byte[] idBytes;

	private final boolean keeps;

	private final ByteArrayOutputStream keptEvents = new ByteArrayOutputStream(0);

	private KeptAnswer kept = new KeptAnswer(200, EVENT_STREAM, new byte[0]);

	private ByteBuf pending = Unpooled.EMPTY_BUFFER;

	private long lastWrite = System.nanoTime();

	private long blockedSince;

	private boolean gone;

	CallerOutput(CallerResponse response, String requestId, boolean keeps) {
		this.response = response;
		this.requestId = requestId;
		this.idBytes = requestId.getBytes(StandardCharsets.US_ASCII);
		this.keeps = keeps;
	}

	EventExecutor executor() {
		return this.response.executor();
	}

	/** The caller went away: from now on everything is dropped. */
	void gone() {
		this.gone = true;
	}

	boolean isWritable() {
		if (this.gone || this.response.isWritable()) {
			this.blockedSince = 0;
			return true;
		}
		if (this.blockedSince == 0) {
			this.blockedSince = System.nanoTime();
		}
		return false;
	}

	/**
	 * Return for how long the caller has taken nothing.
	 * @return nanoseconds, 0 if it takes data
	 */
	long blockedFor() {
		return (isWritable()) ? 0 : System.nanoTime() - this.blockedSince;
	}

	void abort() {
		this.response.abort();
	}

	/**
	 * Add an event, with the id of the request in the place of the attempt's.
	 * @param index the place of the token in the answer
	 * @param data the event
	 * @param idLength the length of the attempt's id
	 */
	void event(long index, Leg.Data data, int idLength) {
		if (this.pending == Unpooled.EMPTY_BUFFER) {
			this.pending = Unpooled.buffer(2 * (data.end() - data.start()) + 64);
		}
		this.pending.writeBytes(ID).writeBytes(Long.toString(index).getBytes(StandardCharsets.US_ASCII));
		this.pending.writeBytes(DATA).writeBytes(data.buffer(), data.start(), data.idAt() - data.start());
		int rest = data.idAt() + idLength;
		this.pending.writeBytes(this.idBytes).writeBytes(data.buffer(), rest, data.end() - rest).writeBytes(END);
	}

	/** Write and flush what was added. */
	void flush() {
		if (this.pending == Unpooled.EMPTY_BUFFER) {
			return;
		}
		startStream();
		ByteBuf data = this.pending;
		this.pending = Unpooled.EMPTY_BUFFER;
		keep(data);
		write(data);
	}

	private void keep(ByteBuf data) {
		if (this.keeps && this.keptEvents.size() <= KeptAnswer.MAX_BODY) {
			byte[] bytes = new byte[data.readableBytes()];
			data.getBytes(data.readerIndex(), bytes);
			this.keptEvents.writeBytes(bytes);
		}
	}

	private void write(ByteBuf data) {
		this.lastWrite = System.nanoTime();
		this.response.write(data);
		this.response.flush();
	}

	private void startStream() {
		Map<String, String> headers = headers(EVENT_STREAM);
		headers.put("cache-control", "no-store");
		this.response.startStream(headers);
	}

	private Map<String, String> headers(String contentType) {
		Map<String, String> headers = new HashMap<>();
		if (!contentType.isEmpty()) {
			headers.put("content-type", contentType);
		}
		headers.put("x-request-id", this.requestId);
		return headers;
	}

	/** End a whole stream. */
	void endStream() {
		flush();
		startStream();
		ByteBuf end = Unpooled.wrappedBuffer(DONE);
		keep(end);
		this.response.write(end);
		this.response.endStream();
		this.kept = new KeptAnswer(200, EVENT_STREAM, this.keptEvents.toByteArray());
	}

	/**
	 * Write a comment line if nothing was written for a while, so that a dead caller
	 * shows.
	 * @param nanos how long
	 */
	void commentAfter(long nanos) {
		if (this.response.isStarted() && System.nanoTime() - this.lastWrite > nanos) {
			write(Unpooled.wrappedBuffer(COMMENT));
		}
	}

	/**
	 * Write a whole plain answer.
	 * @param leg the exchange that yielded it
	 * @param model whether it is the JSON of a model engine, which carries the id
	 */
	void plain(Leg leg, boolean model) {
		byte[] body = (model) ? withRequestId(leg) : leg.answerBody();
		String contentType = leg.answerHead().header("content-type");
		Map<String, String> headers = headers(contentType);
		for (Map.Entry<String, String> header : leg.answerHead().headers()) {
			String name = header.getKey().toLowerCase(Locale.ROOT);
			if (!model && !KEPT_BACK.contains(name)) {
				headers.put(name, header.getValue());
			}
		}
		int status = leg.answerHead().status();
		this.kept = new KeptAnswer(status, contentType, body);
		this.response.answer(status, headers, body);
	}

	private byte[] withRequestId(Leg leg) {
		byte[] body = leg.answerBody();
		OptionalInt at = leg.answerId().find(body, 0, body.length);
		if (at.isEmpty()) {
			return body;
		}
		int rest = at.getAsInt() + leg.answerId().length();
		ByteArrayOutputStream out = new ByteArrayOutputStream(body.length);
		out.write(body, 0, at.getAsInt());
		out.writeBytes(this.idBytes);
		out.write(body, rest, body.length - rest);
		return out.toByteArray();
	}

	/**
	 * Write an answer as it was kept.
	 * @param answer the answer
	 * @return false if a stream was begun, so that it can't be written
	 */
	boolean answer(KeptAnswer answer) {
		if (this.response.isStarted()) {
			return false;
		}
		this.response.answer(answer.status(), headers(answer.contentType()), answer.body());
		return true;
	}

	/**
	 * Refuse the request, inside the stream if one was begun.
	 * @param refusal the reason
	 */
	void refuse(Refusal refusal) {
		if (!this.response.isStarted()) {
			this.response.refuse(refusal, this.requestId);
			return;
		}
		flush();
		this.response.write(Unpooled.copiedBuffer("data: " + refusal.json() + "\n\n", StandardCharsets.UTF_8));
		this.response.endStream();
	}

	/**
	 * Return what is to be kept with a claim.
	 * @return the encoded answer, empty if it is too large
	 */
	byte[] kept() {
		return this.kept.encode();
	}

}
