package org.acaciacourse.bench.cli;

import java.io.PrintStream;

/**
 * A subcommand. An implementation carries JCommander's annotations for its name and its
 * options, and is listed in {@link Main}.
 */
public interface BenchCommand {

	/**
	 * Run the command.
	 * @param out where results go
	 * @return the exit status
	 * @throws Exception if the command cannot be run
	 */
	int run(PrintStream out) throws Exception;

}
