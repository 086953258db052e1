package org.acaciacourse.bench.process;

import java.io.IOException;
import java.util.Arrays;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.acaciacourse.bench.check.Told;
import org.acaciacourse.core.code.RunState;

/**
 * Reads what an answer tells its caller.
 * <p>
 * Thread safe: it has no state.
 */
final class Answers {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final String DATA = "data: ";

	private Answers() {
	}

	static Told told(int status, String text, String content, String key, boolean streamed) {
		try {
			if (status != 200) {
				return refusal(MAPPER.readTree(text), content, key);
			}
			return (streamed) ? events(text, content, key) : whole(MAPPER.readTree(text), content, key);
		}
		catch (IOException ex) {
			return Told.cut(content, key, text);
		}
	}

	private static Told whole(JsonNode json, String content, String key) {
		JsonNode text = (json.has("echo")) ? json.get("echo") : json.at("/choices/0/message/content");
		return Told.answered(content, key, text.asText());
	}

	private static Told events(String text, String content, String key) throws IOException {
		StringBuilder answer = new StringBuilder();
		for (String line : text.split("\n")) {
			if (line.equals("data: [DONE]")) {
				return Told.answered(content, key, answer.toString());
			}
			if (line.startsWith(DATA)) {
				JsonNode json = MAPPER.readTree(line.substring(DATA.length()));
				if (json.has("error")) {
					return refusal(json, content, key);
				}
				answer.append(json.at("/choices/0/delta/content").asText());
			}
		}
		return Told.cut(content, key, answer.toString());
	}

	private static Told refusal(JsonNode json, String content, String key) {
		String label = json.at("/error/run").asText();
		RunState run = Arrays.stream(RunState.values())
			.filter((state) -> state.label().equals(label))
			.findFirst()
			.orElse(RunState.UNKNOWN);
		return Told.refused(content, key, json.at("/error/code").asInt(-1), run);
	}

}
