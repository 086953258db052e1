package org.acaciacourse.bench.check;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.acaciacourse.core.code.RunState;

/**
 * Compares what callers were told with what endpoints ran. A request is known by its
 * content, which must be unique to it; a resend repeats content and key.
 * <p>
 * Not thread safe.
 */
public final class DeliveryChecker {

	private final List<Told> told = new ArrayList<>();

	private final List<Ran> ran = new ArrayList<>();

	private final Function<String, String> expected;

	/**
	 * Create a checker.
	 * @param expected yields the right answer to a content
	 */
	public DeliveryChecker(Function<String, String> expected) {
		this.expected = expected;
	}

	/**
	 * Add what callers were told.
	 * @param calls the ends of calls
	 */
	public void told(Collection<Told> calls) {
		this.told.addAll(calls);
	}

	/**
	 * Add what an endpoint ran.
	 * @param runs the runs
	 */
	public void ran(Collection<Ran> runs) {
		this.ran.addAll(runs);
	}

	/**
	 * Compare.
	 * @return what was found
	 */
	public DeliveryReport check() {
		Set<String> ranContents = this.ran.stream().map(Ran::content).collect(Collectors.toSet());
		List<String> wrong = wrongAnswers(ranContents);
		List<String> cut = this.told.stream()
			.filter((call) -> call.outcome() == Told.Outcome.CUT)
			.map(Told::content)
			.toList();
		return new DeliveryReport(this.told.size(), this.ran.size(), wrong, doubleRuns(), falseNotRun(ranContents),
				cut);
	}

	private List<String> wrongAnswers(Set<String> ranContents) {
		return this.told.stream()
			.filter((call) -> call.outcome() == Told.Outcome.ANSWERED)
			.filter((call) -> !call.text().equals(this.expected.apply(call.content()))
					|| !ranContents.contains(call.content()))
			.map(Told::content)
			.toList();
	}

	/**
	 * Find marked requests with more than one run, by the key that the caller sent and by
	 * the content, since an endpoint may not have been given the key.
	 * @return the keys
	 */
	private List<String> doubleRuns() {
		Map<String, Long> runs = this.ran.stream().collect(Collectors.groupingBy(Ran::content, Collectors.counting()));
		return this.told.stream()
			.filter((call) -> !call.idempotencyKey().isEmpty())
			.filter((call) -> runs.getOrDefault(call.content(), 0L) > 1)
			.map(Told::idempotencyKey)
			.distinct()
			.toList();
	}

	/**
	 * Find requests that ran although each of their calls was told that it did not. A
	 * call that was told anything else explains the run.
	 * @param ranContents the contents that ran
	 * @return the contents
	 */
	private List<String> falseNotRun(Set<String> ranContents) {
		Map<String, Boolean> allNotRun = this.told.stream()
			.collect(Collectors.groupingBy(Told::content,
					Collectors.reducing(true, DeliveryChecker::saysNotRun, Boolean::logicalAnd)));
		return allNotRun.entrySet()
			.stream()
			.filter(Map.Entry::getValue)
			.map(Map.Entry::getKey)
			.filter(ranContents::contains)
			.sorted()
			.toList();
	}

	private static boolean saysNotRun(Told call) {
		return call.outcome() == Told.Outcome.REFUSED && call.run() == RunState.NOT_RUN;
	}

}
