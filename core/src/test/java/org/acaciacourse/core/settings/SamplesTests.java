package org.acaciacourse.core.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

import org.acaciacourse.core.manifest.ManifestParser;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Checks that the sample settings and manifests are valid.
 */
class SamplesTests {

	private static final Path SAMPLES = Path.of("..", "samples");

	private static final int SETTINGS_FILES = 18;

	private static final int MANIFESTS = 3;

	private static List<Path> files(String suffix) throws IOException {
		try (Stream<Path> paths = Files.walk(SAMPLES)) {
			return paths.filter((path) -> path.toString().endsWith(suffix)).sorted().toList();
		}
	}

	@Test
	void everyManifestIsValid() throws IOException {
		List<Path> manifests = files(".manifest.ini");
		assertThat(manifests).hasSize(MANIFESTS);
		for (Path path : manifests) {
			assertWithMessage("%s", path).that(ManifestParser.document(Files.readString(path)).isRight()).isTrue();
		}
	}

	@Test
	void everySettingsFileIsValid() throws IOException {
		List<Path> settings = files(".ini").stream().filter((path) -> !path.toString().contains("manifest")).toList();
		assertThat(settings).hasSize(SETTINGS_FILES);
		for (Path path : settings) {
			String text = Files.readString(path);
			assertWithMessage("%s", path).that(Settings.parse(text, Settings.sectionsOf(text)).isRight()).isTrue();
		}
	}

}
