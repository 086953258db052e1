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
 * Collects the lines that concern a request, each with the state of its VM at that
 * moment, as far as the VM knew it. The lines of one VM keep the order in which they were
 * written: if its clock steps back, sorting by time would put an effect before its cause,
 * so the step is shown instead.
 * <p>
 * Not thread safe: created for one request and used once.
 */
final class Explanation {

	/**
	 * Steps up to this are ignored: a line may be written some milliseconds after one
	 * with a later time.
	 */
	private static final Duration CLOCK_TOLERANCE = Duration.ofMillis(100);

	/**
	 * The events that change the state known to a VM; the latest of each kind applies.
	 */
	private static final Set<String> STATE_EVENTS = Set.of(LogEvent.CONFIGURATION.label(), LogEvent.FLEET.label(),
			LogEvent.CONTROL_LOST.label(), LogEvent.CONTROL_REGAINED.label(), LogEvent.LEADER.label(),
			LogEvent.MEMBERS.label(), LogEvent.STARTED.label(), LogEvent.STOPPING.label());

	private final String request;

	private final Map<String, Map<String, LogLine>> stateLines = new HashMap<>();

	private final Map<String, Instant> previousTimes = new HashMap<>();

	private final Map<String, Instant> maxTimes = new HashMap<>();

	private final List<Match> matches = new ArrayList<>();

	Explanation(String request) {
		this.request = request;
	}

	/**
	 * Add the next line of a log.
	 * @param text the text of the line
	 */
	void add(String text) {
		LogLine.parse(text).ifPresent(this::add);
	}

	private void add(LogLine line) {
		Instant previous = this.previousTimes.put(line.vm(), line.at());
		Duration back = (previous != null) ? Duration.between(line.at(), previous) : Duration.ZERO;
		Instant sortTime = this.maxTimes.merge(line.vm(), line.at(),
				(one, other) -> (one.isAfter(other)) ? one : other);
		Map<String, LogLine> vmState = this.stateLines.computeIfAbsent(line.vm(), (vm) -> new LinkedHashMap<>());
		if (STATE_EVENTS.contains(line.event())) {
			vmState.remove(line.event());
			vmState.put(line.event(), line);
		}
		if (line.concerns(this.request)) {
			Optional<Duration> clockStep = Optional.of(back).filter((b) -> b.compareTo(CLOCK_TOLERANCE) > 0);
			this.matches.add(new Match(line, sortTime, List.copyOf(vmState.values()), clockStep));
		}
	}

	boolean isEmpty() {
		return this.matches.isEmpty();
	}

	/**
	 * Return the path of the request.
	 * @return the lines by time, each with the state of its VM, and the last one, which
	 * decided the outcome
	 */
	String text() {
		StringBuilder text = new StringBuilder();
		this.matches.sort(Comparator.comparing(Match::sortTime));
		for (Match match : this.matches) {
			match.clockStep()
				.ifPresent((back) -> text.append("  the clock of ")
					.append(match.line().vm())
					.append(" went back by ")
					.append(back.toMillis())
					.append(" ms before this line\n"));
			text.append(describe(match.line())).append('\n');
			match.stateLines().forEach((state) -> text.append("    believed: ").append(describe(state)).append('\n'));
		}
		LogLine last = this.matches.get(this.matches.size() - 1).line();
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
	 * A line that concerns the request.
	 *
	 * @param line the line
	 * @param sortTime the latest time in the lines of its VM so far, which never
	 * decreases
	 * @param stateLines the latest line of each event that describes the state of its VM,
	 * oldest first
	 * @param clockStep by how much the clock of its VM stepped back before it, if it did
	 */
	private record Match(LogLine line, Instant sortTime, List<LogLine> stateLines, Optional<Duration> clockStep) {
	}

}
