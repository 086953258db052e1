package org.acaciacourse.daemon.explain;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.daemon.cli.Main;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;

class ExplainCommandTests {

	@TempDir
	private Path folder;

	private static String line(String time, String vm, String message) {
		return "{\"time\":\"2026-03-01T08:00:" + time + "Z\",\"vm\":\"" + vm + "\",\"level\":\"INFO\",\"message\":"
				+ message + "}";
	}

	private Path log(String name, String... lines) throws IOException {
		return Files.write(this.folder.resolve(name), List.of(lines));
	}

	private static String explained(String id, Path... logs) {
		Explanation explanation = new Explanation(id);
		for (Path log : logs) {
			try {
				Files.readAllLines(log).forEach(explanation::add);
			}
			catch (IOException ex) {
				throw new IllegalStateException(ex);
			}
		}
		return explanation.text();
	}

	// The caller gets a 502. Its request went to one endpoint, which broke the
	// connection; the entry VM had lost contact with the control VMs two seconds earlier
	// and did not know that the endpoint was leaving.
	@Test
	void pathOfARequestWithTheStateOfItsVm() throws IOException {
		Path entry = log("entry.log", "lines of another program",
				line("01.000", "entry-1", "{\"event\":\"configuration\",\"table\":7,\"pools\":2}"),
				line("02.000", "entry-1", "{\"event\":\"fleet\",\"fleet\":\"ab\",\"endpoints\":3}"),
				line("03.000", "entry-1", "{\"event\":\"control-lost\",\"silent_ms\":1600}"),
				"  4.1 entry-1 " + line("05.000", "entry-1",
						"{\"event\":\"attempt-ended\",\"request\":\"r1\",\"endpoint\":\"i-1\",\"end\":\"BROKEN\"}"),
				line("05.001", "entry-1", "{\"event\":\"request-failed\",\"request\":\"r1\",\"code\":301,\"table\":7}"),
				"{\"time\":\"2026-03-01T08:00:06Z\",\"message\":{\"event\":\"req");
		Path other = log("other.log", line("05.000", "entry-2", "{\"event\":\"request-failed\",\"request\":\"r2\"}"));
		String text = explained("r1", entry, other);
		assertThat(text).contains("attempt-ended request=r1 endpoint=i-1 end=BROKEN");
		assertThat(text).contains("believed: 2026-03-01T08:00:03Z entry-1 control-lost silent_ms=1600");
		assertThat(text).contains("decided by: 2026-03-01T08:00:05.001Z entry-1 request-failed request=r1 code=301");
		assertThat(text).doesNotContain("r2");
	}

	@Test
	void refusalThatWasMergedIsFound() throws IOException {
		Path log = log("a.log", line("01.000", "entry-1",
				"{\"event\":\"refusals-merged\",\"code\":205,\"count\":97,\"requests\":[\"r1\",\"r2\"]}"));
		assertThat(explained("r2", log)).contains("count=97");
	}

	// The clock of the VM steps back by two seconds between two lines. Sorted by time,
	// the effect would appear before its cause without any indication.
	@Test
	void clockThatStepsBackIsShown() throws IOException {
		Path log = log("a.log", line("05.000", "entry-1", "{\"event\":\"attempt-ended\",\"request\":\"r1\"}"),
				line("03.000", "entry-1", "{\"event\":\"request-failed\",\"request\":\"r1\"}"));
		assertThat(explained("r1", log)).contains("the clock of entry-1 went back by 2000 ms");
	}

	@Test
	void linesOfAVmWhoseClockStepsBackKeepTheirOrder() throws IOException {
		Path log = log("a.log", line("05.000", "entry-1", "{\"event\":\"attempt-ended\",\"request\":\"r1\"}"),
				line("03.000", "entry-1", "{\"event\":\"request-failed\",\"request\":\"r1\"}"));
		String text = explained("r1", log);
		assertThat(text.indexOf("attempt-ended")).isLessThan(text.indexOf("request-failed"));
		assertThat(text).contains("decided by: 2026-03-01T08:00:03Z entry-1 request-failed");
	}

	@Test
	void unknownRequestAndMissingLogHaveCodesOfTheirOwn() throws IOException {
		Path log = log("a.log", line("01.000", "entry-1", "{\"event\":\"stopped\",\"drained\":true}"));
		PrintStream before = System.err;
		System.setErr(new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8));
		try {
			assertThat(Main.run("explain", "r1", log.toString())).isEqualTo(ResultCode.REQUEST_NOT_FOUND);
			assertThat(ResultCode.REQUEST_NOT_FOUND.exitStatus()).isEqualTo(1);
			assertThat(Main.run("explain", "r1", this.folder.resolve("none").toString()))
				.isEqualTo(ResultCode.FILE_UNREADABLE);
			assertThat(Main.run("explain", "r1")).isEqualTo(ResultCode.INVALID_ARGUMENTS);
		}
		finally {
			System.setErr(before);
		}
	}

}
