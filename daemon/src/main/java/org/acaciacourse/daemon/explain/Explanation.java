package org.acaciacourse.daemon.explain;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import org.acaciacourse.daemon.telemetry.LogEvent;

/**
 * Gathers the lines that tell of a request, each with what its VM believed at that
 * moment. The lines of one VM keep the order in which they were written: a clock that
 * stepped back must not turn cause and effect round, and is shown instead.
 * <p>
 * Not thread safe: made for one request and used once.
 */
final class Explanation {

	/** A line may be written some milliseconds after one with a later time. */
	private static final Duration STEP = Duration.ofMillis(100);

	/** The events that change what a VM believes, of which the latest of each counts. */
	private static final Set<String> BELIEFS = Set.of(LogEvent.CONFIGURATION.label(), LogEvent.FLEET.label(),
			LogEvent.CONTROL_LOST.label(), LogEvent.CONTROL_REGAINED.label(), LogEvent.LEADER.label(),
			LogEvent.MEMBERS.label(), LogEvent.STARTED.label(), LogEvent.STOPPING.label());

	private final String request;

	private final Map<String, Map<String, LogLine>> beliefs = new HashMap<>();

	private final Map<String, Instant> latest = new HashMap<>();

	private final Map<String, Instant> highest = new HashMap<>();

	private final List<Step> steps = new ArrayList<>();

	Explanation(String request) {
		this.request = request;
	}

	/**
	 * Take the next line of a log.
	 * @param text the text of the line
	 */
	void take(String text) {
		LogLine.parse(text).ifPresent(this::take);
	}

	private void take(LogLine line) {
		Instant before = this.latest.put(line.vm(), line.at());
		Duration back = (before != null) ? Duration.between(line.at(), before) : Duration.ZERO;
		Instant order = this.highest.merge(line.vm(), line.at(), (one, other) -> (one.isAfter(other)) ? one : other);
		Map<String, LogLine> believed = this.beliefs.computeIfAbsent(line.vm(), (vm) -> new LinkedHashMap<>());
		if (BELIEFS.contains(line.event())) {
			believed.remove(line.event());
			believed.put(line.event(), line);
		}
		if (line.tellsOf(this.request)) {
			Optional<Duration> step = Optional.of(back).filter((b) -> b.compareTo(STEP) > 0);
			this.steps.add(new Step(line, order, List.copyOf(believed.values()), step));
		}
	}

	boolean isEmpty() {
		return this.steps.isEmpty();
	}

	/**
	 * Return the path of the request.
	 * @return the lines by time, with what their VM believed, and the last that decided
	 */
	String text() {
		StringBuilder text = new StringBuilder();
		this.steps.sort(Comparator.comparing(Step::order));
		for (Step step : this.steps) {
			step.clockStep()
				.ifPresent((back) -> text.append("  the clock of ")
					.append(step.line().vm())
					.append(" went back by ")
					.append(back.toMillis())
					.append(" ms before this line\n"));
			text.append(describe(step.line())).append('\n');
			step.beliefs().forEach((belief) -> text.append("    believed: ").append(describe(belief)).append('\n'));
		}
		LogLine last = this.steps.get(this.steps.size() - 1).line();
		return text.append("decided by: ").append(describe(last)).append('\n').toString();
	}

	private static String describe(LogLine line) {
		StringBuilder text = new StringBuilder(line.at() + " " + line.vm() + " " + line.event());
		line.fields().fields().forEachRemaining((field) -> {
			JsonNode value = field.getValue();
			if (!field.getKey().equals("event")) {
				text.append(' ')
					.append(field.getKey())
					.append('=')
					.append((value.isTextual()) ? value.asText() : value);
			}
		});
		return text.toString();
	}

	/**
	 * A line that tells of the request.
	 *
	 * @param line the line
	 * @param order the latest time that its VM has shown so far, which never goes back
	 * @param beliefs what its VM believed, oldest first
	 * @param clockStep by how much the clock went back before it, if it did
	 */
	private record Step(LogLine line, Instant order, List<LogLine> beliefs, Optional<Duration> clockStep) {
	}

}
