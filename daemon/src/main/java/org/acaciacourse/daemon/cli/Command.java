package org.acaciacourse.daemon.cli;

import org.acaciacourse.core.code.ResultCode;

/**
 * A subcommand of the launcher. Implementations are found by
 * {@link java.util.ServiceLoader}, carry JCommander's annotations and are used once.
 * <p>
 * Not thread safe.
 */
public interface Command {

	/**
	 * Return the word on the command line.
	 * @return the name
	 */
	String name();

	/**
	 * Run until done; a daemon returns after its graceful shutdown.
	 * @return the result, which gives the exit status
	 * @throws Exception if an unexpected fault ends the command
	 */
	ResultCode run() throws Exception;

}
