package org.acaciacourse.daemon.http;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Texts in the heads of HTTP/1.1 messages, which are bytes. Netty reads and writes each
 * byte as one character and replaces every other character by a question mark, so that
 * different texts would become the same. On the wire, texts of the configuration are in
 * UTF-8, as in the document that they come from.
 * <p>
 * Thread safe: it has no state.
 */
public final class HeaderText {

	private static final char FIRST_BEYOND_ASCII = 0x80;

	private static final char DELETE = 0x7F;

	private HeaderText() {
	}

	/**
	 * Return a text as a value to write.
	 * @param text the text
	 * @return its bytes in UTF-8, as one character each
	 */
	public static String encode(String text) {
		return (isAscii(text)) ? text : new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
	}

	/**
	 * Return the text of a value that was read.
	 * @param value the bytes, as one character each
	 * @return the text, empty if the bytes are not UTF-8
	 */
	public static Optional<String> decode(String value) {
		if (isAscii(value)) {
			return Optional.of(value);
		}
		try {
			byte[] bytes = value.getBytes(StandardCharsets.ISO_8859_1);
			return Optional.of(StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString());
		}
		catch (CharacterCodingException ex) {
			return Optional.empty();
		}
	}

	/**
	 * Return whether a text can be the value of a header field: it has no control
	 * characters, and no blanks around it, which are not part of a value.
	 * @param text the text
	 * @return whether the other end reads the same text
	 */
	public static boolean isSendable(String text) {
		boolean surrounded = !text.isEmpty() && (isBlank(text.charAt(0)) || isBlank(text.charAt(text.length() - 1)));
		return !surrounded && text.chars().noneMatch((c) -> (c < ' ' && c != '\t') || c == DELETE);
	}

	private static boolean isBlank(char c) {
		return c == ' ' || c == '\t';
	}

	private static boolean isAscii(String text) {
		for (int i = 0; i < text.length(); i++) {
			if (text.charAt(i) >= FIRST_BEYOND_ASCII) {
				return false;
			}
		}
		return true;
	}

}
