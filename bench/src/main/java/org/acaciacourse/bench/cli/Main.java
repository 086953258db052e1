package org.acaciacourse.bench.cli;

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
	 */
	public static void main(String[] args) {
		System.err.println("usage: acaciacourse-bench COMMAND");
		System.exit(64);
	}

}
