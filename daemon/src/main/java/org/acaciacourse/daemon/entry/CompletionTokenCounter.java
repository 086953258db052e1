package org.acaciacourse.daemon.entry;

import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;

/**
 * Parses the complete non-streaming response of a model engine and reads its token count.
 * <p>
 * Thread safe: it has no state.
 */
final class CompletionTokenCounter {

	private static final JsonFactory JSON = new JsonFactory();

	private CompletionTokenCounter() {
	}

	/**
	 * Return the number of tokens of a response.
	 * @param body the JSON of the response
	 * @return the number of tokens, 0 if the engine does not report it; empty if the JSON
	 * is incomplete or malformed
	 */
	static Optional<Long> count(byte[] body) {
		try (JsonParser parser = JSON.createParser(body)) {
			if (parser.nextToken() != JsonToken.START_OBJECT) {
				return Optional.empty();
			}
			long tokens = 0;
			int depth = 1;
			while (depth > 0) {
				JsonToken token = parser.nextToken();
				if (token == null) {
					return Optional.empty();
				}
				depth += (token.isStructStart()) ? 1 : (token.isStructEnd()) ? -1 : 0;
				if (token == JsonToken.VALUE_NUMBER_INT && "completion_tokens".equals(parser.currentName())) {
					tokens = parser.getLongValue();
				}
			}
			return (parser.nextToken() != null) ? Optional.empty() : Optional.of(tokens);
		}
		catch (IOException ex) {
			return Optional.empty();
		}
	}

}
