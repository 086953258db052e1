package org.acaciacourse.daemon.explain;

import java.time.DateTimeException;
import java.time.Instant;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * A parsed line of a decision log.
 * <p>
 * Immutable and thread safe.
 *
 * @param at the time by the clock of its VM
 * @param vm the VM
 * @param event the name of the event
 * @param fields the fields of the event
 */
public record LogLine(Instant at, String vm, String event, JsonNode fields) {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	/**
	 * Parse a line. Text before the first brace is skipped, as log collectors put their
	 * own prefixes there.
	 * @param text the text of the line
	 * @return the line, empty if it is not one of a decision log
	 */
	public static Optional<LogLine> parse(String text) {
		int brace = text.indexOf('{');
		if (brace < 0) {
			return Optional.empty();
		}
		try {
			JsonNode root = MAPPER.readTree(text.substring(brace));
			JsonNode fields = root.path("message");
			if (!fields.path("event").isTextual()) {
				return Optional.empty();
			}
			return Optional.of(new LogLine(Instant.parse(root.path("time").asText()), root.path("vm").asText(),
					fields.path("event").asText(), fields));
		}
		catch (JsonProcessingException | DateTimeException ex) {
			// The line was truncated while it was written.
			return Optional.empty();
		}
	}

	/**
	 * Return whether the line concerns a request.
	 * @param request the id of the request
	 * @return whether the line has the id, alone or in a list
	 */
	boolean concerns(String request) {
		if (this.fields.path("request").asText().equals(request)) {
			return true;
		}
		for (JsonNode id : this.fields.path("requests")) {
			if (id.asText().equals(request)) {
				return true;
			}
		}
		return false;
	}

}
