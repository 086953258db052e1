package org.acaciacourse.bench.process;

import java.io.IOException;
import java.util.Arrays;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;

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

	private static final Pattern LENGTH = Pattern.compile("\\[tokens=([0-9]+)]");

	private static final String DATA = "data: ";

	private Answers() {
	}

	/**
	 * Return the right answer of the stand-in: the message, then filler up to the length
	 * in its marker.
	 * @param content the message
	 * @return the answer
	 */
	static String expected(String content) {
		Matcher marker = LENGTH.matcher(content);
		StringBuilder answer = new StringBuilder(content);
		int words = content.split(" ").length;
		int length = (marker.find()) ? Integer.parseInt(marker.group(1)) : words;
		IntStream.range(words, length).forEach((i) -> answer.append(" t").append(i));
		return answer.toString();
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
