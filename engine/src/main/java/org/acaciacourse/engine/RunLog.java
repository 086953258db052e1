package org.acaciacourse.engine;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Remembers what was run. A line is in the file before its run begins, so that a crash in
 * the run cannot hide it; only a loss of the machine could, and no test causes one.
 * <p>
 * Thread safe: all methods are synchronized.
 */
final class RunLog {

	private static final int KEPT = 20_000;

	private final ObjectMapper mapper = new ObjectMapper();

	private final Map<String, ObjectNode> runs = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, ObjectNode> eldest) {
			return size() > KEPT;
		}
	};

	private final Optional<Path> file;

	RunLog(Optional<Path> file) {
		this.file = file;
	}

	synchronized void add(String id, String key, String content, boolean resumed) {
		ObjectNode run = this.runs.computeIfAbsent(id,
				(name) -> this.mapper.createObjectNode().put("id", id).put("key", key).put("content", content));
		run.put("count", run.path("count").asInt(0) + ((resumed) ? 0 : 1));
		run.put("resumed", resumed);
		this.file.ifPresent((path) -> append(path, run));
	}

	synchronized ArrayNode all() {
		ArrayNode all = this.mapper.createArrayNode();
		this.runs.values().forEach((run) -> all.add(run.deepCopy()));
		return all;
	}

	private static void append(Path path, ObjectNode run) {
		try {
			Files.write(path, (run + "\n").getBytes(StandardCharsets.UTF_8), StandardOpenOption.CREATE,
					StandardOpenOption.APPEND);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
