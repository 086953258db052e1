package org.acaciacourse.bench.cli;

import java.util.Arrays;

import org.acaciacourse.bench.load.LoadCommand;

/**
 * Entry point of the experiments and the load tool.
 * <p>
 * Thread safe: it has no state.
 */
public final class Main {

	private Main() {
	}

	/**
	 * Run an experiment or the load tool.
	 * @param args the command line
	 * @throws Exception if it cannot be run
	 */
	public static void main(String[] args) throws Exception {
		if (args.length > 0 && args[0].equals("load")) {
			LoadCommand.run(Arrays.copyOfRange(args, 1, args.length));
			System.exit(0);
		}
		System.err.println("usage: acaciacourse-bench COMMAND");
		System.exit(64);
	}

}
