package org.acaciacourse.bench.control;

import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.acaciacourse.bench.cli.BenchCommand;
import org.acaciacourse.daemon.inner.SharedKey;

/**
 * The subcommand that puts load on control VMs that run already.
 * <p>
 * Not thread safe: made for one command line.
 */
@Parameters(commandNames = "control", commandDescription = "load running control VMs with commits or changes")
public final class ControlBench implements BenchCommand {

	@Parameter(names = "--mode", description = "commits, changes or slopes")
	private String mode = "commits";

	@Parameter(names = "--control", description = "Addresses of the control VMs")
	private List<String> controls = new ArrayList<>();

	@Parameter(names = "--inner-key")
	private String innerKey = "";

	@Parameter(names = "--operator-key")
	private String operatorKey = "";

	@Parameter(names = "--threads", description = "Callers that each wait for an answer before the next call")
	private int threads = 16;

	@Parameter(names = "--seconds")
	private int seconds = 10;

	@Parameter(names = "--customers", description = "Customers in the manifest")
	private int customers = 10;

	@Parameter(names = "--entries", description = "Links that follow the configuration")
	private int entries = 9;

	@Parameter(names = "--first-number", description = "Number of the first manifest")
	private long firstNumber = 1;

	@Parameter(names = "--pause-ms", description = "Time between two changes")
	private int pauseMillis = 50;

	@Override
	public int run(PrintStream out) throws Exception {
		SharedKey key = new SharedKey(this.innerKey);
		Duration length = Duration.ofSeconds(this.seconds);
		if (this.mode.equals("commits")) {
			out.println(new CommitLoad(this.controls, key, this.threads).run(length));
		}
		else if (this.mode.equals("slopes")) {
			out.println(StateSlopes.run());
		}
		else {
			ChangeLoad load = new ChangeLoad(this.controls, key, this.operatorKey, this.customers);
			out.println(load.run(length, this.entries, this.firstNumber, this.pauseMillis));
		}
		return 0;
	}

}
