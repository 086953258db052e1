package org.acaciacourse.daemon.entry;

import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import net.openhft.hashing.LongHashFunction;

/**
 * The fields of a chat completion request that the router needs. The body is parsed as a
 * stream of JSON tokens and forwarded unchanged.
 * <p>
 * Immutable and thread safe.
 *
 * @param model the model
 * @param stream whether the caller requests an event stream
 * @param maxTokens the requested maximum of tokens, 0 if none was given
 * @param prefixHash a hash of the first bytes of the messages, 0 if they are shorter
 * @param promptTokens the estimated number of tokens of the messages
 */
record ChatBody(String model, boolean stream, int maxTokens, long prefixHash, int promptTokens) {

	private static final JsonFactory JSON = new JsonFactory();

	private static final int PREFIX_BYTES = 512;

	private static final int BYTES_PER_TOKEN = 4;

	/**
	 * Parse a body.
	 * @param body the body
	 * @return the fields, empty if the body is malformed
	 */
	static Optional<ChatBody> parse(byte[] body) {
		try (JsonParser parser = JSON.createParser(body)) {
			return new Reader(parser, body).read();
		}
		catch (IOException ex) {
			return Optional.empty();
		}
	}

	/** Parses one body. */
	private static final class Reader {

		private final JsonParser parser;

		private final byte[] body;

		private String model = "";

		private boolean stream;

		private int maxTokens;

		private int messagesStart = -1;

		private int messagesEnd;

		private Reader(JsonParser parser, byte[] body) {
			this.parser = parser;
			this.body = body;
		}

		private Optional<ChatBody> read() throws IOException {
			if (this.parser.nextToken() != JsonToken.START_OBJECT) {
				return Optional.empty();
			}
			while (this.parser.nextToken() == JsonToken.FIELD_NAME) {
				String name = this.parser.currentName();
				if (!readField(name, this.parser.nextToken())) {
					return Optional.empty();
				}
			}
			boolean atEnd = this.parser.nextToken() == null;
			if (!atEnd || this.model.isEmpty() || this.messagesStart < 0) {
				return Optional.empty();
			}
			int length = this.messagesEnd - this.messagesStart;
			long prefix = (length < PREFIX_BYTES) ? 0
					: LongHashFunction.xx3().hashBytes(this.body, this.messagesStart, PREFIX_BYTES);
			return Optional
				.of(new ChatBody(this.model, this.stream, this.maxTokens, prefix, 1 + length / BYTES_PER_TOKEN));
		}

		private boolean readField(String name, JsonToken value) throws IOException {
			switch (name) {
				case "model":
					this.model = (value == JsonToken.VALUE_STRING) ? this.parser.getText() : "";
					return !this.model.isEmpty();
				case "stream":
					this.stream = value == JsonToken.VALUE_TRUE;
					return value == JsonToken.VALUE_NULL || value.isBoolean();
				case "max_tokens", "max_completion_tokens":
					return value == JsonToken.VALUE_NULL || readMaxTokens(value);
				case "messages":
					return readMessages(value);
				default:
					this.parser.skipChildren();
					return true;
			}
		}

		private boolean readMaxTokens(JsonToken value) throws IOException {
			if (value != JsonToken.VALUE_NUMBER_INT) {
				return false;
			}
			this.maxTokens = this.parser.getIntValue();
			return this.maxTokens > 0;
		}

		private boolean readMessages(JsonToken value) throws IOException {
			if (value != JsonToken.START_ARRAY) {
				return false;
			}
			this.messagesStart = (int) this.parser.currentLocation().getByteOffset();
			int count = 0;
			while (this.parser.nextToken() == JsonToken.START_OBJECT) {
				this.parser.skipChildren();
				count++;
			}
			this.messagesEnd = (int) this.parser.currentLocation().getByteOffset();
			return count > 0 && this.parser.currentToken() == JsonToken.END_ARRAY;
		}

	}

}
