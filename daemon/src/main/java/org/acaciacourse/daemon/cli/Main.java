package org.acaciacourse.daemon.cli;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.ServiceLoader;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.daemon.process.FatalFaults;
import org.acaciacourse.daemon.telemetry.LogQueue;

/**
 * Entry point of the launcher: dispatches to the subcommands on the class path.
 * <p>
 * Thread safe: it has no state.
 */
public final class Main {

	private static final String PROGRAM = "acaciacourse";

	private Main() {
	}

	/**
	 * Run a subcommand and exit with the status of its result.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		FatalFaults.install(() -> LogQueue.installed().ifPresent(LogQueue::flush));
		System.exit(run(args).exitStatus());
	}

	/**
	 * Run a subcommand.
	 * @param args the command line
	 * @return the result
	 */
	public static ResultCode run(String... args) {
		Map<String, Command> commands = new LinkedHashMap<>();
		ServiceLoader.load(Command.class).forEach((command) -> commands.put(command.name(), command));
		GlobalOptions options = new GlobalOptions();
		JCommander commander = JCommander.newBuilder().programName(PROGRAM).addObject(options).build();
		commandsToParse(commands, args).forEach(commander::addCommand);
		if (args.length > 1 && commands.containsKey(args[0]) && requestsHelp(args)) {
			commander.getUsageFormatter().usage(args[0]);
			return ResultCode.OK;
		}
		try {
			commander.parse(args);
		}
		catch (ParameterException ex) {
			System.err.println(ResultCode.INVALID_ARGUMENTS.number() + " " + ex.getMessage());
			return ResultCode.INVALID_ARGUMENTS;
		}
		String name = commander.getParsedCommand();
		if (options.help) {
			commander.usage();
			return ResultCode.OK;
		}
		if (name == null) {
			commander.usage();
			return ResultCode.INVALID_ARGUMENTS;
		}
		return run(commands.get(name));
	}

	// The options of a command are found by reflection. Doing that for all commands would
	// take a third of the CPU time until an entry VM listens.
	private static Map<String, Command> commandsToParse(Map<String, Command> commands, String... args) {
		boolean known = args.length > 0 && commands.containsKey(args[0]);
		return (known) ? Map.of(args[0], commands.get(args[0])) : commands;
	}

	// Help must be available without the required options of the command.
	private static boolean requestsHelp(String... args) {
		return Arrays.stream(args).anyMatch((arg) -> arg.equals("--help") || arg.equals("-h"));
	}

	private static ResultCode run(Command command) {
		try {
			return command.run();
		}
		catch (Exception ex) {
			System.err.println(ResultCode.INTERNAL.number() + " " + ex);
			return ResultCode.INTERNAL;
		}
	}

	/** Options before the subcommand. */
	private static final class GlobalOptions {

		@Parameter(names = { "--help", "-h" }, help = true, description = "Show this help")
		private boolean help;

	}

}
