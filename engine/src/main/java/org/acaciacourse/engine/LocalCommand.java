package org.acaciacourse.engine;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.daemon.cli.Command;
import org.acaciacourse.daemon.cli.StopSignal;

/**
 * The subcommand that runs the embedded default until SIGTERM.
 * <p>
 * Not thread safe.
 */
@Parameters(commandDescription = "Run three controls, two entries and three engines in one process")
public final class LocalCommand implements Command {

	@Parameter(names = "--port", description = "Port of the first entry")
	private int port = 8080;

	@Parameter(names = "--data", description = "Data folder; a temporary one if it is not given")
	private Path data;

	@Override
	public String name() {
		return "local";
	}

	@Override
	public ResultCode run() throws Exception {
		StopSignal signal = new StopSignal();
		Path folder = (this.data != null) ? this.data.toAbsolutePath() : Files.createTempDirectory("acaciacourse");
		LocalSystem system = new LocalSystem(folder);
		ResultCode result = system.start(this.port);
		if (result == ResultCode.OK) {
			System.out.println("ready " + system.address());
			signal.await();
		}
		ResultCode stopped = system.stop();
		if (this.data == null) {
			delete(folder);
		}
		return (result != ResultCode.OK) ? result : stopped;
	}

	private static void delete(Path folder) throws IOException {
		try (Stream<Path> files = Files.walk(folder)) {
			List<Path> deepestFirst = files.sorted(Comparator.reverseOrder()).toList();
			for (Path file : deepestFirst) {
				Files.deleteIfExists(file);
			}
		}
	}

}
