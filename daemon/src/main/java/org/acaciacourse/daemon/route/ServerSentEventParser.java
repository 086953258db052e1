package org.acaciacourse.daemon.route;

import java.util.Arrays;
import java.util.OptionalLong;

/**
 * Splits a stream of server-sent events into complete events. Only complete events are
 * forwarded: an endpoint may fail in the middle of one, and another endpoint that resumes
 * after the last complete event would then repeat its beginning.
 * <p>
 * Not thread safe: belongs to one attempt.
 */
final class ServerSentEventParser {

	/**
	 * Longer than any event that engines send; a longer event is treated as malformed.
	 */
	static final int MAX_EVENT_BYTES = 1024 * 1024;

	private static final byte[] ID_FIELD = { 'i', 'd', ':' };

	private byte[] buffer = new byte[1024];

	private int length;

	/** The offset at which the search for the end of the first event continues. */
	private int searchFrom;

	/**
	 * Add received bytes.
	 * @param bytes the bytes
	 * @return false if an event is too long
	 */
	boolean feed(byte[] bytes) {
		if (this.length + bytes.length > MAX_EVENT_BYTES) {
			return false;
		}
		if (this.length + bytes.length > this.buffer.length) {
			this.buffer = Arrays.copyOf(this.buffer, Math.max(this.buffer.length * 2, this.length + bytes.length));
		}
		System.arraycopy(bytes, 0, this.buffer, this.length, bytes.length);
		this.length += bytes.length;
		return true;
	}

	/**
	 * Remove and return the next complete event.
	 * @return the event, or {@code null} if there is none
	 */
	Event next() {
		for (int i = this.searchFrom; i < this.length; i++) {
			if (this.buffer[i] == '\n' && endsEmptyLine(i)) {
				byte[] bytes = Arrays.copyOf(this.buffer, i + 1);
				this.length -= i + 1;
				System.arraycopy(this.buffer, i + 1, this.buffer, 0, this.length);
				this.searchFrom = 0;
				return new Event(bytes, idOf(bytes));
			}
		}
		this.searchFrom = Math.max(0, this.length - 2);
		return null;
	}

	// Returns whether the line ending at the offset is empty, which completes an event.
	private boolean endsEmptyLine(int offset) {
		int before = offset - 1;
		if (before >= 0 && this.buffer[before] == '\r') {
			before--;
		}
		return before >= 0 && this.buffer[before] == '\n';
	}

	/**
	 * Return whether bytes of an incomplete event are left.
	 * @return whether the stream ended within an event
	 */
	boolean isWithinEvent() {
		for (int i = 0; i < this.length; i++) {
			if (this.buffer[i] != '\n' && this.buffer[i] != '\r') {
				return true;
			}
		}
		return false;
	}

	private static OptionalLong idOf(byte[] event) {
		int line = 0;
		while (line < event.length) {
			int end = line;
			while (end < event.length && event[end] != '\n') {
				end++;
			}
			if (end - line > ID_FIELD.length
					&& Arrays.equals(event, line, line + ID_FIELD.length, ID_FIELD, 0, ID_FIELD.length)) {
				return parseNumber(event, line + ID_FIELD.length, end);
			}
			line = end + 1;
		}
		return OptionalLong.empty();
	}

	private static OptionalLong parseNumber(byte[] event, int from, int to) {
		long value = 0;
		int digits = 0;
		for (int i = from; i < to; i++) {
			if (event[i] >= '0' && event[i] <= '9' && digits < 18) {
				value = value * 10 + event[i] - '0';
				digits++;
			}
			else if (event[i] != ' ' && event[i] != '\r') {
				return OptionalLong.empty();
			}
		}
		return (digits > 0) ? OptionalLong.of(value) : OptionalLong.empty();
	}

	/**
	 * A complete event.
	 *
	 * @param bytes its bytes, including the empty line at its end
	 * @param id its id, if that is a number
	 */
	record Event(byte[] bytes, OptionalLong id) {
	}

}
