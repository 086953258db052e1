package org.acaciacourse.daemon.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.acaciacourse.core.code.ResultCode;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link Main}: each error on the command line yields its result code.
 */
class MainTests {

	@TempDir
	private Path folder;

	private String file(String text) throws IOException {
		return Files.writeString(this.folder.resolve("file.ini"), text).toString();
	}

	@Nested
	class Arguments {

		@Test
		void everyCommandHasItsHelp() {
			for (String name : new String[] { "entry", "control", "apply", "status", "compare", "check", "version" }) {
				assertThat(Main.run(name, "--help")).isEqualTo(ResultCode.OK);
			}
		}

		@Test
		void anUnknownCommandIsInvalid() {
			assertThat(Main.run("frobnicate")).isEqualTo(ResultCode.INVALID_ARGUMENTS);
			assertThat(Main.run()).isEqualTo(ResultCode.INVALID_ARGUMENTS);
		}

	}

	@Nested
	class FileArguments {

		// The parameter for the path of the file could not be set, so that apply and
		// check failed with a command line error whatever the file contained.
		@Test
		void aValidManifestIsOk() {
			assertThat(Main.run("check", "../samples/sample.manifest.ini")).isEqualTo(ResultCode.OK);
		}

		@Test
		void aBadManifestIsInvalid() throws IOException {
			assertThat(Main.run("check", file("[manifest]\nnumber = x\n"))).isEqualTo(ResultCode.INVALID_MANIFEST);
		}

		@Test
		void badSettingsAreInvalid() throws IOException {
			String text = "[vm]\nname = a\n[entry]\nmax-body = 3 GB\n";
			assertThat(Main.run("check", file(text))).isEqualTo(ResultCode.INVALID_SETTINGS);
			assertThat(Main.run("entry", "--settings", file(text))).isEqualTo(ResultCode.INVALID_SETTINGS);
		}

		@Test
		void aMissingFileIsUnreadable() {
			assertThat(Main.run("apply", "missing.ini", "--control", "127.0.0.1:1", "--key", "k"))
				.isEqualTo(ResultCode.FILE_UNREADABLE);
		}

	}

}
