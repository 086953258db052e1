package org.acaciacourse.daemon.operator;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.daemon.cli.Main;
import org.acaciacourse.daemon.control.ControlCluster;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;

class CommandTests {

	private static final String MANIFEST = """
			[manifest]
			number = 3
			policy = tiered
			[policy tiered]
			kind = tiered
			""";

	@TempDir
	private Path folder;

	private Path file(String text) throws Exception {
		return Files.writeString(this.folder.resolve("file.ini"), text);
	}

	private static Printed run(List<String> args) throws Exception {
		PrintStream before = System.out;
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		System.setOut(new PrintStream(bytes, true, StandardCharsets.UTF_8));
		try {
			ResultCode code = Main.run(args.toArray(String[]::new));
			return new Printed(code, new ObjectMapper().readTree(bytes.toString(StandardCharsets.UTF_8)));
		}
		finally {
			System.setOut(before);
		}
	}

	@Nested
	class Check {

		@Test
		void reportsEveryProblemWithItsLine() throws Exception {
			Path bad = file(MANIFEST.replace("number = 3", "number = x").replace("policy = tiered", "policy = lost"));
			Printed printed = run(List.of("check", bad.toString(), "--json"));
			assertThat(printed.code()).isEqualTo(ResultCode.INVALID_MANIFEST);
			assertThat(printed.json().path("problems").findValuesAsText("line")).containsExactly("2", "3");
		}

		@Test
		void acceptsAValidManifestAndReportsAnUnreadableFile() throws Exception {
			assertThat(run(List.of("check", file(MANIFEST).toString(), "--json")).code()).isEqualTo(ResultCode.OK);
			assertThat(run(List.of("check", missing(), "--json")).code()).isEqualTo(ResultCode.FILE_UNREADABLE);
		}

		private String missing() {
			return CommandTests.this.folder.resolve("missing").toString();
		}

	}

	@Nested
	class WithControl {

		@Test
		void applyStatusAndCompareAgree() throws Exception {
			try (ControlCluster cluster = new ControlCluster(CommandTests.this.folder, 1).startAll()) {
				String control = cluster.link("entry-1").controls().get(0);
				List<String> call = List.of("--control", control, "--key", "operator", "--json");
				Printed applied = run(with(call, "apply", file(MANIFEST).toString()));
				assertThat(applied.code()).isEqualTo(ResultCode.OK);
				Printed status = run(with(call, "status"));
				assertThat(status.json().path("digest")).isEqualTo(applied.json().path("digest"));
				assertThat(status.json().path("audit").size()).isEqualTo(1);
				assertThat(run(with(call, "compare")).json().path("rows").size()).isEqualTo(0);
				Path older = file(MANIFEST.replace("number = 3", "number = 2"));
				Printed refused = run(with(call, "apply", older.toString()));
				assertThat(refused.code()).isEqualTo(ResultCode.MANIFEST_OUTDATED);
				assertThat(refused.json().path("number").asLong()).isEqualTo(3);
			}
		}

		@Test
		void wrongKeyIsRefused() throws Exception {
			try (ControlCluster cluster = new ControlCluster(CommandTests.this.folder, 1).startAll()) {
				String control = cluster.link("entry-1").controls().get(0);
				List<String> call = List.of("--control", control, "--key", "guessed", "--json");
				assertThat(run(with(call, "status")).code()).isEqualTo(ResultCode.OPERATOR_UNKNOWN);
				Printed applied = run(with(call, "apply", file(MANIFEST).toString()));
				assertThat(applied.code()).isEqualTo(ResultCode.OPERATOR_UNKNOWN);
			}
		}

		private List<String> with(List<String> call, String... words) {
			List<String> all = new ArrayList<>(List.of(words));
			all.addAll(call);
			return all;
		}

	}

	/** The result code of a command and the JSON it printed. */
	private record Printed(ResultCode code, JsonNode json) {
	}

}
