package org.acaciacourse.testkit;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.acaciacourse.daemon.cli.Main;

/**
 * One process of the product, with small memory, its output in a file.
 * <p>
 * Not thread safe.
 */
public final class JavaProcess implements AutoCloseable {

	private final Process process;

	private final Path output;

	/** The length of what processes before this one wrote to the same file. */
	private final int writtenBefore;

	private JavaProcess(Process process, Path output, int writtenBefore) {
		this.process = process;
		this.output = output;
		this.writtenBefore = writtenBefore;
	}

	/**
	 * Start a subcommand of the product.
	 * @param folder gets the file with the output
	 * @param name the name of that file
	 * @param args the command line
	 * @return the process
	 */
	public static JavaProcess start(Path folder, String name, String... args) {
		List<String> command = new ArrayList<>(
				List.of(ProcessHandle.current().info().command().orElse("java"), "-Xmx96m", "-XX:+UseSerialGC",
						"-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path"), Main.class.getName()));
		command.addAll(List.of(args));
		Path output = folder.resolve(name + ".out");
		try {
			int writtenBefore = (Files.exists(output)) ? Files.readString(output).length() : 0;
			Process process = new ProcessBuilder(command).redirectErrorStream(true)
				.redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()))
				.start();
			Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
			return new JavaProcess(process, output, writtenBefore);
		}
		catch (IOException ex) {
			throw new AssertionError(ex);
		}
	}

	/**
	 * Return the id of the process.
	 * @return the id
	 */
	public long id() {
		return this.process.pid();
	}

	/**
	 * Return whether the process runs.
	 * @return whether it has not ended
	 */
	public boolean isAlive() {
		return this.process.isAlive();
	}

	/**
	 * Return what the process wrote.
	 * @return its output and its errors so far
	 */
	public String output() {
		try {
			return Files.readString(this.output);
		}
		catch (IOException ex) {
			throw new AssertionError(ex);
		}
	}

	/**
	 * Return what this process wrote, without those that had the same name before it.
	 * @return its output and its errors so far
	 */
	public String ownOutput() {
		return output().substring(this.writtenBefore);
	}

	/** Send SIGTERM. */
	public void terminate() {
		this.process.destroy();
	}

	/** Send SIGKILL. */
	public void kill() {
		this.process.destroyForcibly();
		awaitExit();
	}

	/** Send SIGSTOP: the process stays, its connections stay, nothing moves. */
	public void freeze() {
		signal("-STOP");
	}

	/** Send SIGCONT. */
	public void thaw() {
		signal("-CONT");
	}

	/**
	 * Wait for the end of the process.
	 * @return its exit code
	 */
	public int awaitExit() {
		try {
			if (!this.process.waitFor(Waiting.BOUND.toSeconds(), TimeUnit.SECONDS)) {
				throw new AssertionError("process " + id() + " did not end: " + output());
			}
		}
		catch (InterruptedException ex) {
			throw new AssertionError(ex);
		}
		return this.process.exitValue();
	}

	@Override
	public void close() {
		kill();
	}

	private void signal(String signal) {
		try {
			new ProcessBuilder("kill", signal, Long.toString(id())).start().waitFor();
		}
		catch (IOException | InterruptedException ex) {
			throw new AssertionError(ex);
		}
	}

}
