package org.acaciacourse.bench.losses;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.acaciacourse.bench.cli.BenchCommand;
import org.acaciacourse.core.code.ResultCode;

/**
 * The subcommand that tells from the logs of all VMs where requests were lost.
 * <p>
 * Not thread safe: made for one command line.
 */
@Parameters(commandNames = "losses", commandDescription = "count lost requests by time, route and cause: losses LOG...")
public final class LossesCommand implements BenchCommand {

	@Parameter(required = true, description = "LOG...")
	private List<String> logs = new ArrayList<>();

	@Parameter(names = "--step-seconds", description = "Length of a row's time in seconds, from 1 on")
	private int stepSeconds = 2;

	@Override
	public int run(PrintStream out) {
		if (this.stepSeconds < 1) {
			System.err.println(ResultCode.INVALID_ARGUMENTS.number() + " --step-seconds: expected 1 or more");
			return ResultCode.INVALID_ARGUMENTS.exitStatus();
		}
		LossTable table = new LossTable(Duration.ofSeconds(this.stepSeconds));
		for (String log : this.logs) {
			// Lines that a fault filled with other bytes must not end the search.
			try (Stream<String> lines = Files.lines(Path.of(log), StandardCharsets.ISO_8859_1)) {
				lines.forEach(table::take);
			}
			catch (IOException ex) {
				System.err.println(ResultCode.FILE_UNREADABLE.number() + " cannot read " + log);
				return ResultCode.FILE_UNREADABLE.exitStatus();
			}
		}
		out.print(table.text());
		return ResultCode.OK.exitStatus();
	}

}
