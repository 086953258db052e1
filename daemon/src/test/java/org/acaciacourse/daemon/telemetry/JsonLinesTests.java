package org.acaciacourse.daemon.telemetry;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.message.Message;
import org.apache.logging.log4j.message.ObjectMessage;
import org.apache.logging.log4j.message.SimpleMessage;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class JsonLinesTests {

	private static final long AT = 1_796_295_600_007L;

	private final ByteArrayOutputStream written = new ByteArrayOutputStream();

	private final JsonLines lines = new JsonLines(this.written, "entry-1");

	private String text(Message message, Optional<Throwable> thrown) {
		this.lines.accept(new QueuedLogLine(AT, Level.INFO, "org.acaciacourse.Any", message, thrown));
		return this.written.toString(StandardCharsets.UTF_8);
	}

	private JsonNode read(Message message, Optional<Throwable> thrown) throws Exception {
		return new ObjectMapper().readTree(text(message, thrown));
	}

	@Nested
	class Structured {

		@Test
		void lineIsOneObjectWithTheFieldsOfTheEvent() {
			Map<String, Object> fields = new LinkedHashMap<>();
			fields.put("event", "request-end");
			fields.put("took_ms", 17L);
			fields.put("share", 0.5);
			fields.put("drained", true);
			fields.put("tried", List.of("i-1", "i-2"));
			fields.put("code", Optional.class);
			assertThat(text(new ObjectMessage(fields), Optional.empty()))
				.isEqualTo("{\"time\":\"2026-12-03T11:00:00.007Z\",\"vm\":\"entry-1\",\"level\":\"INFO\","
						+ "\"logger\":\"org.acaciacourse.Any\",\"message\":{\"event\":\"request-end\","
						+ "\"took_ms\":17,\"share\":0.5,\"drained\":true,\"tried\":[\"i-1\",\"i-2\"],"
						+ "\"code\":\"class java.util.Optional\"}}\n");
		}

		@Test
		void missingValuesAndNestedFieldsAreWritten() throws Exception {
			Map<String, Object> fields = new LinkedHashMap<>();
			fields.put("none", null);
			fields.put("nested", Map.of("list", Arrays.asList(1, null)));
			JsonNode message = read(new ObjectMessage(fields), Optional.empty()).path("message");
			assertThat(message.path("none").isNull()).isTrue();
			assertThat(message.at("/nested/list").toString()).isEqualTo("[1,null]");
		}

	}

	@Nested
	class Text {

		/*
		 * A caller sends a request id with characters that would end a line or a JSON
		 * string. The log line with the id must remain a single line and a single object.
		 */
		@Test
		void textFromOutsideCannotBreakTheLine() throws Exception {
			String hostile = "a\n{\"level\":\"ERROR\"}\r\u0000\\\" \u2028 é";
			assertThat(read(new SimpleMessage(hostile), Optional.empty()).path("message").asText()).isEqualTo(hostile);
			assertThat(JsonLinesTests.this.written.toString(StandardCharsets.UTF_8)
				.chars()
				.filter((c) -> c == '\n')
				.count()).isEqualTo(1);
		}

		@Test
		void longTextIsCut() throws Exception {
			String text = read(new SimpleMessage("x".repeat(100_000)), Optional.empty()).path("message").asText();
			assertThat(text).isEqualTo("x".repeat(16_384) + "…");
		}

		@Test
		void exceptionIsWrittenWithItsStackTrace() throws Exception {
			JsonNode line = read(new SimpleMessage("poll failed"), Optional.of(new IllegalStateException("no quorum")));
			assertThat(line.path("error").asText()).startsWith("java.lang.IllegalStateException: no quorum");
			assertThat(line.path("error").asText()).contains("\tat ");
		}

		@Test
		void eachLineIsTerminated() {
			text(new SimpleMessage("first"), Optional.empty());
			assertThat(text(new SimpleMessage("second"), Optional.empty()).lines().count()).isEqualTo(2);
		}

	}

}
