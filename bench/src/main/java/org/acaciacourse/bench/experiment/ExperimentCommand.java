package org.acaciacourse.bench.experiment;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import com.beust.jcommander.DynamicParameter;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import org.acaciacourse.bench.cli.BenchCommand;
import org.acaciacourse.core.model.PolicyKind;

/**
 * The subcommand that prints the table of an experiment.
 * <p>
 * Not thread safe: made for one command line.
 */
@Parameters(commandNames = "experiment", commandDescription = "compare policies in virtual time")
public final class ExperimentCommand implements BenchCommand {

	@Parameter(names = "--scenario", description = "a scenario, may be repeated; default: all but overnight")
	private List<String> scenarios = new ArrayList<>();

	@Parameter(names = "--site", description = "nkwanta or tarian, may be repeated; default: both")
	private List<String> sites = new ArrayList<>();

	@Parameter(names = "--seeds", description = "how many seeds")
	private int seeds = 3;

	@Parameter(names = "--held-out", description = "take the seeds that were not used for tuning")
	private boolean heldOut;

	@Parameter(names = "--csv", description = "print CSV in place of a table")
	private boolean csv;

	@Parameter(names = "--only", description = "run only this contender, may be repeated")
	private List<String> only = new ArrayList<>();

	@DynamicParameter(names = "-P", description = "a parameter of the tiered policy")
	private Map<String, String> parameters = new HashMap<>();

	@Override
	public int run(PrintStream out) {
		Report report = new Report(out, this.csv);
		report.head();
		for (Site site : chosenSites()) {
			for (Scenario scenario : chosenScenarios()) {
				for (Contender contender : chosenContenders()) {
					Outcome outcome = Experiment.run(site, scenario, contender, this.seeds, this.heldOut);
					report.rows(site, scenario, contender.name(), outcome);
				}
			}
		}
		return 0;
	}

	private List<Site> chosenSites() {
		if (this.sites.isEmpty()) {
			return List.of(Site.values());
		}
		return this.sites.stream()
			.map((name) -> Site.ofLabel(name).orElseThrow(() -> new ParameterException("unknown site " + name)))
			.toList();
	}

	private List<Scenario> chosenScenarios() {
		if (this.scenarios.isEmpty()) {
			return Arrays.stream(Scenario.values()).filter((scenario) -> scenario != Scenario.OVERNIGHT).toList();
		}
		return this.scenarios.stream()
			.map((name) -> Scenario.ofLabel(name).orElseThrow(() -> new ParameterException("unknown scenario " + name)))
			.toList();
	}

	private List<Contender> chosenContenders() {
		Map<String, Double> values = new HashMap<>();
		this.parameters.forEach((name, value) -> values.put(name, Double.valueOf(value)));
		return Experiment.contenders()
			.stream()
			.filter((contender) -> (this.only.isEmpty()) ? contender.sharing() != Contender.Sharing.OWNERS
					: this.only.contains(contender.name()))
			.map((contender) -> (contender.kind() == PolicyKind.TIERED && !contender.isCentral())
					? new Contender(contender.name(), contender.kind(), values, contender.sharing()) : contender)
			.toList();
	}

	/** Prints outcomes as a table or as CSV. */
	private static final class Report {

		private static final String ROW = "%-8s %-17s %-16s %-18s %7s %9s %17s %9s %7s %7s %8s  %s%n";

		private static final String CSV = "%s,%s,%s,%s,%s,%s,%s,%s,%s,%s,%s,%s%n";

		private final PrintStream out;

		private final String form;

		private Report(PrintStream out, boolean csv) {
			this.out = out;
			this.form = (csv) ? CSV : ROW;
		}

		private void head() {
			this.out.printf(this.form, "site", "scenario", "policy", "group", "samples", "attained", "interval",
					"answered", "tok/s", "wasted", "low/min", "refusals and violations");
		}

		private void rows(Site site, Scenario scenario, String name, Outcome outcome) {
			outcome.groups.forEach((group, counts) -> this.out.printf(this.form, site.label, scenario.label, name,
					group, counts.samples, percent(counts.attainment()),
					percent(counts.interval().low()) + "-" + percent(counts.interval().high()),
					percent(counts.answered / (double) Math.max(1, counts.samples)),
					String.format(Locale.ROOT, "%.0f", outcome.goodput()), percent(outcome.waste()),
					percent(outcome.leastLowShare), (counts.refusals + " " + outcome.violations).replace(',', ';')));
		}

		private static String percent(double share) {
			return String.format(Locale.ROOT, "%.2f%%", 100 * share);
		}

	}

}
