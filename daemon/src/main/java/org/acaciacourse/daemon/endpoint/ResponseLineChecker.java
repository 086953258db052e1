package org.acaciacourse.daemon.endpoint;

import io.netty.buffer.ByteBuf;

/**
 * Checks the lines of the head and of the trailers of a response before they are decoded.
 * The decoder is lenient: it reads any text that is a number as a status, takes any
 * version, and cuts a field name at a blank, so that a field would be passed on as
 * another one or change where the body ends.
 * <p>
 * A status line is {@code HTTP/1.}, a digit, a blank, three digits from 100 to 599 (RFC
 * 9110, section 15), and a reason or nothing. A field line begins with a token and a
 * colon without a blank between them; a line that begins with a blank continues the field
 * before it.
 * <p>
 * Not thread safe: belongs to one connection.
 */
final class ResponseLineChecker {

	private static final String VERSION = "HTTP/1.";

	private static final int STATUS_AT = VERSION.length() + 2;

	private static final int STATUS_DIGITS = 3;

	private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";

	private static final boolean[] TOKEN = new boolean[128];

	static {
		for (char c = 0; c < TOKEN.length; c++) {
			boolean letter = c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z';
			TOKEN[c] = letter || isDigit((byte) c) || TOKEN_SYMBOLS.indexOf(c) >= 0;
		}
	}

	private boolean statusLineSeen;

	private boolean fieldSeen;

	private boolean ended;

	/** Begin with a status line. */
	void beginHead() {
		this.statusLineSeen = false;
		this.fieldSeen = false;
		this.ended = false;
	}

	/** Begin with the fields behind a body. */
	void beginTrailers() {
		beginHead();
		this.statusLineSeen = true;
	}

	/**
	 * Check the complete lines that have arrived since the last call.
	 * @param input begins with the first byte that was not decoded yet; it is not read
	 * from
	 * @return whether all lines up to the end of the head or the trailers are valid
	 */
	boolean isValid(ByteBuf input) {
		int start = (this.statusLineSeen) ? input.readerIndex() : skipBlankLines(input);
		int end = input.indexOf(start, input.writerIndex(), (byte) '\n');
		while (end >= 0 && !this.ended) {
			int length = end - start;
			if (length > 0 && input.getByte(end - 1) == '\r') {
				length--;
			}
			if (!isValidLine(input, start, length)) {
				return false;
			}
			start = end + 1;
			end = input.indexOf(start, input.writerIndex(), (byte) '\n');
		}
		return true;
	}

	// Some servers send an empty line behind a body.
	private static int skipBlankLines(ByteBuf input) {
		int index = input.readerIndex();
		while (index < input.writerIndex() && (input.getByte(index) == '\r' || input.getByte(index) == '\n')) {
			index++;
		}
		return index;
	}

	private boolean isValidLine(ByteBuf input, int start, int length) {
		if (!this.statusLineSeen) {
			this.statusLineSeen = true;
			return isStatusLine(input, start, length);
		}
		if (length == 0) {
			this.ended = true;
			return true;
		}
		boolean continued = this.fieldSeen && isBlank(input.getByte(start));
		this.fieldSeen = true;
		return continued || isField(input, start, start + length);
	}

	private static boolean isStatusLine(ByteBuf input, int start, int length) {
		int end = STATUS_AT + STATUS_DIGITS;
		if (length < end || (length > end && input.getByte(start + end) != ' ')) {
			return false;
		}
		for (int i = 0; i < VERSION.length(); i++) {
			if (input.getByte(start + i) != VERSION.charAt(i)) {
				return false;
			}
		}
		byte statusClass = input.getByte(start + STATUS_AT);
		return isDigit(input.getByte(start + VERSION.length())) && input.getByte(start + STATUS_AT - 1) == ' '
				&& statusClass >= '1' && statusClass <= '5' && isDigit(input.getByte(start + STATUS_AT + 1))
				&& isDigit(input.getByte(start + STATUS_AT + 2));
	}

	private static boolean isField(ByteBuf input, int start, int end) {
		int index = start;
		while (index < end && isTokenByte(input.getByte(index))) {
			index++;
		}
		return index > start && index < end && input.getByte(index) == ':';
	}

	private static boolean isTokenByte(byte letter) {
		return letter >= 0 && TOKEN[letter];
	}

	private static boolean isDigit(byte letter) {
		return letter >= '0' && letter <= '9';
	}

	private static boolean isBlank(byte letter) {
		return letter == ' ' || letter == '\t';
	}

}
