package org.acaciacourse.bench.load;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.acaciacourse.bench.cli.BenchCommand;

/**
 * The subcommand that measures targets under load. The first target is the router; the
 * processor time of the given processes is set against the tokens that came through it.
 * <p>
 * Not thread safe.
 */
@Parameters(commandNames = "load", commandDescription = "Measure the router, and endpoints directly, in one run")
public final class LoadCommand implements BenchCommand {

	private static final int MICROS_PER_SECOND = 1_000_000;

	@Parameter(names = "--target", required = true, description = "Address; the router first, then direct ones")
	private List<String> targets = new ArrayList<>();

	@Parameter(names = "--rate", description = "Requests a second over all targets")
	private double rate = 20;

	@Parameter(names = "--seconds", description = "How long to send")
	private int seconds = 20;

	@Parameter(names = "--warmup-seconds", description = "How long to send before measuring")
	private int warmupSeconds = 5;

	@Parameter(names = "--streamed-percent", description = "How many of a hundred requests are streamed")
	private int streamedPercent = 100;

	@Parameter(names = "--tokens", description = "Length of an answer")
	private int tokens = 50;

	@Parameter(names = "--connections", description = "Most connections to a target")
	private int connections = 256;

	@Parameter(names = "--model", description = "Model asked for")
	private String model = "sample-llm-7b";

	@Parameter(names = "--class", description = "Class of the requests")
	private String requestClass = "urgent";

	@Parameter(names = "--key", description = "Key of the customer")
	private String key = "sample";

	@Parameter(names = "--pid", description = "Process whose processor time is measured")
	private List<Long> processIds = new ArrayList<>();

	@Override
	public int run(PrintStream out) throws Exception {
		LoadPlan plan = new LoadPlan(this.targets, this.rate, this.streamedPercent, this.tokens, this.connections,
				this.model, this.requestClass, this.key);
		try (LoadGenerator generator = new LoadGenerator(plan)) {
			if (this.warmupSeconds > 0) {
				generator.run(this.warmupSeconds, emptyResults());
			}
			measure(generator, out);
		}
		return 0;
	}

	private void measure(LoadGenerator generator, PrintStream out) throws Exception {
		List<TargetResults> results = emptyResults();
		List<ProcessUsage> before = usage();
		long start = System.nanoTime();
		generator.run(this.seconds, results);
		double lasted = (System.nanoTime() - start) / (double) TimeUnit.SECONDS.toNanos(1);
		List<ProcessUsage> after = usage();
		results.forEach((result) -> out.print(result.report(lasted)));
		results.stream().skip(1).forEach((direct) -> printAdded(results.get(0), direct, out));
		for (int i = 0; i < after.size(); i++) {
			printUsage(before.get(i), after.get(i), results.get(0).tokenCount(), lasted, out);
		}
	}

	private List<TargetResults> emptyResults() {
		List<TargetResults> results = new ArrayList<>();
		for (int i = 0; i < this.targets.size(); i++) {
			results.add(new TargetResults((i == 0) ? "router" : "direct" + i));
		}
		return results;
	}

	private List<ProcessUsage> usage() throws IOException {
		List<ProcessUsage> usage = new ArrayList<>();
		for (long processId : this.processIds) {
			usage.add(ProcessUsage.of(processId));
		}
		return usage;
	}

	private static void printAdded(TargetResults router, TargetResults direct, PrintStream out) {
		out.printf("added    first token ms p50 %.3f p99 %.3f, between tokens ms mean %.4f p99 %.3f%n",
				router.firstTokenMillis(50) - direct.firstTokenMillis(50),
				router.firstTokenMillis(99) - direct.firstTokenMillis(99),
				router.meanGapMillis() - direct.meanGapMillis(), router.gapMillis(99) - direct.gapMillis(99));
	}

	private static void printUsage(ProcessUsage before, ProcessUsage after, long tokens, double seconds,
			PrintStream out) {
		double cpu = after.cpuSeconds() - before.cpuSeconds();
		out.printf("process %d cpu s %.2f cores %.3f us per token %.2f resident MB %.1f%n", after.processId(), cpu,
				cpu / seconds, cpu * MICROS_PER_SECOND / Math.max(1, tokens), after.residentKilobytes() / 1024.0);
	}

}
