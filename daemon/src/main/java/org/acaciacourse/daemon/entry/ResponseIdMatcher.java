package org.acaciacourse.daemon.entry;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.OptionalInt;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;

/**
 * Finds the id in a JSON response or chunk and compares it with the id of the exchange. A
 * response with another id belongs to another request, however it got onto this
 * connection, and must not be forwarded.
 * <p>
 * Immutable and thread safe.
 */
final class ResponseIdMatcher {

	private static final JsonFactory JSON = new JsonFactory();

	private static final byte[] COMMON_START = "{\"id\":\"".getBytes(StandardCharsets.US_ASCII);

	private final byte[] id;

	ResponseIdMatcher(String id) {
		this.id = id.getBytes(StandardCharsets.US_ASCII);
	}

	int length() {
		return this.id.length;
	}

	/**
	 * Return the position of the id if it is the expected one.
	 * @param buffer the buffer that holds a JSON object
	 * @param start the offset of the object
	 * @param end the offset after the object
	 * @return the offset of the id, empty if the id is missing or differs
	 */
	OptionalInt findId(byte[] buffer, int start, int end) {
		int idStart = start + COMMON_START.length;
		if (matches(buffer, start, end, COMMON_START)) {
			return isIdAt(buffer, idStart, end) ? OptionalInt.of(idStart) : OptionalInt.empty();
		}
		return parseForId(buffer, start, end);
	}

	private OptionalInt parseForId(byte[] buffer, int start, int end) {
		try (JsonParser parser = JSON.createParser(buffer, start, end - start)) {
			if (parser.nextToken() != JsonToken.START_OBJECT) {
				return OptionalInt.empty();
			}
			while (parser.nextToken() == JsonToken.FIELD_NAME) {
				boolean found = parser.currentName().equals("id");
				parser.nextToken();
				if (found) {
					int at = start + (int) parser.currentTokenLocation().getByteOffset() + 1;
					return isIdAt(buffer, at, end) ? OptionalInt.of(at) : OptionalInt.empty();
				}
				parser.skipChildren();
			}
		}
		catch (IOException ex) {
			// Malformed JSON is treated like a missing id.
		}
		return OptionalInt.empty();
	}

	private boolean isIdAt(byte[] buffer, int at, int end) {
		return matches(buffer, at, end, this.id) && at + this.id.length < end && buffer[at + this.id.length] == '"';
	}

	private static boolean matches(byte[] buffer, int at, int end, byte[] expected) {
		return end - at >= expected.length
				&& Arrays.equals(buffer, at, at + expected.length, expected, 0, expected.length);
	}

}
