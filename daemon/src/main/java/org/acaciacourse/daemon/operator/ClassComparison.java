package org.acaciacourse.daemon.operator;

import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

import org.acaciacourse.core.measure.WilsonInterval;
import org.acaciacourse.protocol.generated.ClassReport;

/**
 * Results of one class under one policy, summed over all entry VMs.
 * <p>
 * Immutable and thread safe.
 *
 * @param requestClass the class
 * @param policy the policy
 * @param sample the requests that ended, whatever their outcome
 * @param met those that met the target
 * @param refused those that were refused
 * @param tokensDelivered the tokens delivered to callers
 * @param tokensWasted the tokens that were computed and discarded
 */
record ClassComparison(String requestClass, String policy, long sample, long met, long refused, long tokensDelivered,
		long tokensWasted) {

	/**
	 * Sum up reports.
	 * @param reports the reports of all entry VMs
	 * @return a row for each class and policy, sorted by class, then by policy
	 */
	static List<ClassComparison> of(List<ClassReport> reports) {
		SortedMap<String, ClassComparison> rows = new TreeMap<>();
		for (ClassReport report : reports) {
			rows.merge(report.getRequestClass() + "\n" + report.getPolicy(), row(report), ClassComparison::plus);
		}
		return List.copyOf(rows.values());
	}

	private static ClassComparison row(ClassReport report) {
		long sample = report.getAnswered() + report.getRefused() + report.getFailed();
		return new ClassComparison(report.getRequestClass(), report.getPolicy(), sample, report.getMet(),
				report.getRefused(), report.getTokensDelivered(), report.getTokensWasted());
	}

	private ClassComparison plus(ClassComparison other) {
		return new ClassComparison(this.requestClass, this.policy, this.sample + other.sample, this.met + other.met,
				this.refused + other.refused, this.tokensDelivered + other.tokensDelivered,
				this.tokensWasted + other.tokensWasted);
	}

	/**
	 * Return the share of requests that met the target.
	 * @return the attainment, 0 for an empty sample
	 */
	double attainment() {
		return (this.sample > 0) ? (double) this.met / this.sample : 0;
	}

	/**
	 * Return the confidence interval of the attainment.
	 * @return the 95 % interval
	 */
	WilsonInterval interval() {
		return WilsonInterval.of(this.met, this.sample);
	}

	/**
	 * Return the share of computed tokens that were discarded.
	 * @return the share, 0 if none were computed
	 */
	double wastedShare() {
		long all = this.tokensDelivered + this.tokensWasted;
		return (all > 0) ? (double) this.tokensWasted / all : 0;
	}

}
