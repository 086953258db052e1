package org.acaciacourse.bench.cli;

import java.util.List;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import org.acaciacourse.bench.capacity.ManifestSlopes;
import org.acaciacourse.bench.control.ControlBench;
import org.acaciacourse.bench.experiment.ExperimentCommand;
import org.acaciacourse.bench.load.LoadCommand;
import org.acaciacourse.bench.losses.LossesCommand;
import org.acaciacourse.core.code.ResultCode;

/**
 * Entry point of the experiments and the load tool.
 * <p>
 * Thread safe: it has no state.
 */
public final class Main {

	private Main() {
	}

	private static List<BenchCommand> commands() {
		return List.of(new ExperimentCommand(), new LoadCommand(), new ManifestSlopes(), new ControlBench(),
				new LossesCommand());
	}

	/**
	 * Run an experiment or the load tool.
	 * @param args the command line
	 * @throws Exception if it cannot be run
	 */
	public static void main(String[] args) throws Exception {
		JCommander line = JCommander.newBuilder().programName("acaciacourse-bench").build();
		commands().forEach(line::addCommand);
		try {
			line.parse(args);
			if (line.getParsedCommand() == null) {
				throw new ParameterException("a command is required");
			}
			JCommander parsed = line.getCommands().get(line.getParsedCommand());
			System.exit(((BenchCommand) parsed.getObjects().get(0)).run(System.out));
		}
		catch (ParameterException ex) {
			System.err.println(ex.getMessage());
			line.usage();
			System.exit(ResultCode.INVALID_ARGUMENTS.exitStatus());
		}
	}

}
