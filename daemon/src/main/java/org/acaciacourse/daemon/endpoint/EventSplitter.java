package org.acaciacourse.daemon.endpoint;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Splits a stream of server-sent events into single events and parses their fields
 * {@code id} and {@code data}.
 * <p>
 * Not thread safe: belongs to one response. An event of more than
 * {@link #MAX_EVENT_BYTES} bytes is rejected, so that an endpoint that sends no line ends
 * can't exhaust the memory.
 */
public final class EventSplitter {

	static final int MAX_EVENT_BYTES = 1024 * 1024;

	private static final byte[] DATA = "data:".getBytes(StandardCharsets.US_ASCII);

	private static final byte[] ID = "id:".getBytes(StandardCharsets.US_ASCII);

	private byte[] buffer = new byte[1024];

	private int length;

	private int scanned;

	private int eventStart;

	private int lineStart;

	private long eventId = -1;

	private int dataStart = -1;

	private int dataEnd;

	/**
	 * Process a chunk of the stream.
	 * @param chunk the bytes as received
	 * @param sink receives each complete event
	 * @return false if an event is too long, its {@code id} is not a number or the sink
	 * rejected it
	 */
	public boolean feed(byte[] chunk, Sink sink) {
		append(chunk);
		while (this.scanned < this.length) {
			if (this.buffer[this.scanned++] == '\n' && !handleLine(sink)) {
				return false;
			}
		}
		compact();
		return this.length <= MAX_EVENT_BYTES;
	}

	private void append(byte[] chunk) {
		if (this.length + chunk.length > this.buffer.length) {
			this.buffer = Arrays.copyOf(this.buffer, Math.max(this.buffer.length * 2, this.length + chunk.length));
		}
		System.arraycopy(chunk, 0, this.buffer, this.length, chunk.length);
		this.length += chunk.length;
	}

	private boolean handleLine(Sink sink) {
		int start = this.lineStart;
		int end = this.scanned - 1;
		if (end > start && this.buffer[end - 1] == '\r') {
			end--;
		}
		this.lineStart = this.scanned;
		if (end == start) {
			return emitEvent(sink);
		}
		if (startsWith(start, end, DATA)) {
			this.dataStart = skipSpace(start + DATA.length, end);
			this.dataEnd = end;
		}
		else if (startsWith(start, end, ID)) {
			return parseId(skipSpace(start + ID.length, end), end);
		}
		return true;
	}

	private boolean parseId(int start, int end) {
		long value = 0;
		for (int i = start; i < end; i++) {
			int digit = this.buffer[i] - '0';
			if (digit < 0 || digit > 9 || value > Integer.MAX_VALUE) {
				return false;
			}
			value = value * 10 + digit;
		}
		this.eventId = value;
		return end > start;
	}

	private boolean emitEvent(Sink sink) {
		boolean accepted = true;
		if (this.dataStart >= 0) {
			accepted = sink.event(this.eventId, this.buffer, this.dataStart, this.dataEnd);
		}
		this.eventId = -1;
		this.dataStart = -1;
		this.eventStart = this.scanned;
		return accepted;
	}

	private boolean startsWith(int start, int end, byte[] bytes) {
		return end - start >= bytes.length
				&& Arrays.equals(this.buffer, start, start + bytes.length, bytes, 0, bytes.length);
	}

	private int skipSpace(int start, int end) {
		return (start < end && this.buffer[start] == ' ') ? start + 1 : start;
	}

	private void compact() {
		if (this.eventStart == 0) {
			return;
		}
		int shift = this.eventStart;
		System.arraycopy(this.buffer, shift, this.buffer, 0, this.length - shift);
		this.length -= shift;
		this.scanned -= shift;
		this.lineStart -= shift;
		this.dataStart = (this.dataStart < 0) ? -1 : this.dataStart - shift;
		this.dataEnd -= shift;
		this.eventStart = 0;
	}

	/**
	 * Receives complete events.
	 */
	@FunctionalInterface
	public interface Sink {

		/**
		 * Process an event.
		 * @param index the number in the field {@code id}, -1 if there is none
		 * @param buffer the buffer with the data; valid during the call only
		 * @param start the offset of the first byte of the data
		 * @param end the offset after the last byte of the data
		 * @return false to stop because the response can't be used
		 */
		boolean event(long index, byte[] buffer, int start, int end);

	}

}
