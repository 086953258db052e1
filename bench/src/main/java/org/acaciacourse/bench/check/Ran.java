package org.acaciacourse.bench.check;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * One run that an endpoint logged before it began.
 * <p>
 * Immutable and thread safe.
 *
 * @param endpoint the endpoint
 * @param id the id of the attempt
 * @param idempotencyKey the key that came with it, or empty
 * @param content the text that it ran
 */
public record Ran(String endpoint, String id, String idempotencyKey, String content) {

	/**
	 * Read the run log of an endpoint. The last line may be cut by a crash; its run had
	 * not begun.
	 * @param endpoint the endpoint
	 * @param file its run log
	 * @return the runs, without the marks of resumed streams
	 * @throws IOException if the file cannot be read
	 */
	public static List<Ran> read(String endpoint, Path file) throws IOException {
		List<Ran> runs = new ArrayList<>();
		if (!Files.exists(file)) {
			return runs;
		}
		ObjectMapper mapper = new ObjectMapper();
		List<String> lines = Files.readAllLines(file);
		for (int i = 0; i < lines.size(); i++) {
			try {
				JsonNode run = mapper.readTree(lines.get(i));
				if (!run.path("resumed").asBoolean()) {
					runs.add(new Ran(endpoint, run.path("id").asText(), run.path("key").asText(),
							run.path("content").asText()));
				}
			}
			catch (JsonProcessingException ex) {
				if (i + 1 < lines.size()) {
					throw ex;
				}
			}
		}
		return runs;
	}

}
