package org.acaciacourse.daemon.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;

import io.vavr.control.Either;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.ini.Problem;
import org.acaciacourse.core.settings.Settings;

/**
 * Reads the settings file of a daemon and prints all problems found in it.
 * <p>
 * Thread safe: it has no state.
 */
public final class SettingsFile {

	private SettingsFile() {
	}

	/**
	 * Read a settings file.
	 * @param file the file
	 * @param sections the sections that the process needs
	 * @return the settings, or the code to exit with
	 */
	public static Either<ResultCode, Settings> read(Path file, Set<String> sections) {
		try {
			return Settings.parse(Files.readString(file), sections).mapLeft(SettingsFile::printProblems);
		}
		catch (IOException ex) {
			System.err.println(ResultCode.FILE_UNREADABLE.number() + " cannot read " + file);
			return Either.left(ResultCode.FILE_UNREADABLE);
		}
	}

	private static ResultCode printProblems(List<Problem> problems) {
		problems.forEach((problem) -> System.err.println(ResultCode.INVALID_SETTINGS.number() + " " + problem));
		return ResultCode.INVALID_SETTINGS;
	}

}
