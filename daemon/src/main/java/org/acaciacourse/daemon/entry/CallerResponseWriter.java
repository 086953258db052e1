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
 * Writes the response of one request to its caller, with the id of the request in place
 * of the exchange's id. Events that arrive together are written and flushed together.
 * <p>
 * Not thread safe: belongs to the event loop of the caller.
 */
final class CallerResponseWriter {

	private static final byte[] DONE_EVENT = "data: [DONE]\n\n".getBytes(StandardCharsets.US_ASCII);

	private static final byte[] KEEP_ALIVE_COMMENT = ": keep-alive\n\n".getBytes(StandardCharsets.US_ASCII);

	private static final byte[] ID_FIELD = "id: ".getBytes(StandardCharsets.US_ASCII);

	private static final byte[] DATA_FIELD = "\ndata: ".getBytes(StandardCharsets.US_ASCII);

	private static final byte[] EVENT_END = "\n\n".getBytes(StandardCharsets.US_ASCII);

	private static final String EVENT_STREAM = "text/event-stream";

	private static final Set<String> EXCLUDED_HEADERS = Set.of("connection", "keep-alive", "transfer-encoding",
			"content-length", "x-request-id", "x-not-run", "trailer", "upgrade", "proxy-connection");

	private final CallerResponse response;

	private final String requestId;

	private final byte[] idBytes;

	private final boolean storesResponse;

	private final ByteArrayOutputStream storedEvents = new ByteArrayOutputStream(0);

	private StoredResponse storedResponse = new StoredResponse(200, EVENT_STREAM, new byte[0]);

	private ByteBuf pending = Unpooled.EMPTY_BUFFER;

	private long lastWriteAt = System.nanoTime();

	private long blockedSince;

	private boolean callerGone;

	CallerResponseWriter(CallerResponse response, String requestId, boolean storesResponse) {
		this.response = response;
		this.requestId = requestId;
		this.idBytes = requestId.getBytes(StandardCharsets.US_ASCII);
		this.storesResponse = storesResponse;
	}

	EventExecutor executor() {
		return this.response.executor();
	}

	/** Handle the disconnect of the caller: all further output is dropped. */
	void callerGone() {
		this.callerGone = true;
	}

	boolean isWritable() {
		if (this.callerGone || this.response.isWritable()) {
			this.blockedSince = 0;
			return true;
		}
		if (this.blockedSince == 0) {
			this.blockedSince = System.nanoTime();
		}
		return false;
	}

	/**
	 * Return for how long the connection to the caller has not been writable.
	 * @return nanoseconds, 0 if it is writable
	 */
	long blockedNanos() {
		return (isWritable()) ? 0 : System.nanoTime() - this.blockedSince;
	}

	void abort() {
		this.response.abort();
	}

	/**
	 * Append an event to the pending output, with the exchange's id replaced by the
	 * request's.
	 * @param index the index of the token in the response
	 * @param eventData the event
	 * @param idLength the length of the exchange's id
	 */
	void appendEvent(long index, EndpointExchange.EventData eventData, int idLength) {
		if (this.pending == Unpooled.EMPTY_BUFFER) {
			this.pending = Unpooled.buffer(2 * (eventData.end() - eventData.start()) + 64);
		}
		this.pending.writeBytes(ID_FIELD).writeBytes(Long.toString(index).getBytes(StandardCharsets.US_ASCII));
		this.pending.writeBytes(DATA_FIELD)
			.writeBytes(eventData.buffer(), eventData.start(), eventData.idStart() - eventData.start());
		int rest = eventData.idStart() + idLength;
		this.pending.writeBytes(this.idBytes)
			.writeBytes(eventData.buffer(), rest, eventData.end() - rest)
			.writeBytes(EVENT_END);
	}

	/** Write and flush the pending events. */
	void flush() {
		if (this.pending == Unpooled.EMPTY_BUFFER) {
			return;
		}
		startStream();
		ByteBuf data = this.pending;
		this.pending = Unpooled.EMPTY_BUFFER;
		storeEvents(data);
		write(data);
	}

	private void storeEvents(ByteBuf data) {
		if (this.storesResponse && this.storedEvents.size() <= StoredResponse.MAX_BODY_BYTES) {
			byte[] bytes = new byte[data.readableBytes()];
			data.getBytes(data.readerIndex(), bytes);
			this.storedEvents.writeBytes(bytes);
		}
	}

	private void write(ByteBuf data) {
		this.lastWriteAt = System.nanoTime();
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

	/** Flush pending events and end the stream with the end marker. */
	void endStream() {
		flush();
		startStream();
		ByteBuf end = Unpooled.wrappedBuffer(DONE_EVENT);
		storeEvents(end);
		this.response.write(end);
		this.response.endStream();
		this.storedResponse = new StoredResponse(200, EVENT_STREAM, this.storedEvents.toByteArray());
	}

	/**
	 * Write a comment line if the stream was idle, so that a dead connection to the
	 * caller is detected.
	 * @param idleNanos the idle time in nanoseconds
	 */
	void writeKeepAliveIfIdle(long idleNanos) {
		if (this.response.isStarted() && System.nanoTime() - this.lastWriteAt > idleNanos) {
			write(Unpooled.wrappedBuffer(KEEP_ALIVE_COMMENT));
		}
	}

	/**
	 * Forward a complete, non-streaming response.
	 * @param exchange the exchange that received it
	 * @param model whether it is the JSON of a model engine, which contains the id
	 */
	void forwardResponse(EndpointExchange exchange, boolean model) {
		byte[] body = (model) ? withRequestId(exchange) : exchange.responseBody();
		String contentType = exchange.responseHead().header("content-type");
		Map<String, String> headers = headers(contentType);
		for (Map.Entry<String, String> header : exchange.responseHead().headers()) {
			String name = header.getKey().toLowerCase(Locale.ROOT);
			if (!model && !EXCLUDED_HEADERS.contains(name)) {
				headers.put(name, header.getValue());
			}
		}
		int status = exchange.responseHead().status();
		this.storedResponse = new StoredResponse(status, contentType, body);
		this.response.send(status, headers, body);
	}

	private byte[] withRequestId(EndpointExchange exchange) {
		byte[] body = exchange.responseBody();
		OptionalInt idStart = exchange.idMatcher().findId(body, 0, body.length);
		if (idStart.isEmpty()) {
			return body;
		}
		int rest = idStart.getAsInt() + exchange.idMatcher().length();
		ByteArrayOutputStream out = new ByteArrayOutputStream(body.length);
		out.write(body, 0, idStart.getAsInt());
		out.writeBytes(this.idBytes);
		out.write(body, rest, body.length - rest);
		return out.toByteArray();
	}

	/**
	 * Write a stored response.
	 * @param stored the response
	 * @return false if a stream has started, so that it can't be written
	 */
	boolean writeStored(StoredResponse stored) {
		if (this.response.isStarted()) {
			return false;
		}
		this.response.send(stored.status(), headers(stored.contentType()), stored.body());
		return true;
	}

	/**
	 * Refuse the request, with an error event if a stream has started.
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
	 * Return the response to be stored with the claim.
	 * @return the encoded response, empty if it is too large
	 */
	byte[] encodedResponse() {
		return this.storedResponse.encode();
	}

}
