package org.acaciacourse.bench.check;

import java.util.List;

/**
 * What a {@link DeliveryChecker} found.
 * <p>
 * Immutable and thread safe.
 *
 * @param calls how many calls were checked
 * @param runs how many runs were checked
 * @param wrongAnswers contents whose answer was not their own, or that nobody ran
 * @param doubleRuns keys of marked requests that ran more than once
 * @param falseNotRun contents that ran though their callers were told not-run
 * @param cut contents whose caller got neither the end of the answer nor a code
 */
public record DeliveryReport(int calls, int runs, List<String> wrongAnswers, List<String> doubleRuns,
		List<String> falseNotRun, List<String> cut) {

	public DeliveryReport {
		wrongAnswers = List.copyOf(wrongAnswers);
		doubleRuns = List.copyOf(doubleRuns);
		falseNotRun = List.copyOf(falseNotRun);
		cut = List.copyOf(cut);
	}

	/**
	 * Return whether nothing was found that must never happen. Cut answers are apart:
	 * they are permitted when a VM is killed.
	 * @return whether each answer was its caller's own, no marked request ran twice and
	 * no not-run was false
	 */
	public boolean isSound() {
		return this.wrongAnswers.isEmpty() && this.doubleRuns.isEmpty() && this.falseNotRun.isEmpty();
	}

}
