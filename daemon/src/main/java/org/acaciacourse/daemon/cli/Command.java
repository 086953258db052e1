package org.acaciacourse.daemon.cli;

import org.acaciacourse.core.code.ResultCode;

/**
 * A subcommand of the launcher. Implementations are found by
 * {@link java.util.ServiceLoader}, have JCommander's annotations and run once.
 * <p>
 * Not thread safe.
 */
public interface Command {

	/**
	 * Return the name of the subcommand on the command line.
	 * @return the name
	 */
	String name();

	/**
	 * Run to completion; a daemon returns after its graceful shutdown.
	 * @return the result, which determines the exit status
	 * @throws Exception if an unexpected error ends the command
	 */
	ResultCode run() throws Exception;

}
