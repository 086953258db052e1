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
	private static final Duration CLOCK_TOLERANCE = Duration.ofMillis(100);

	/** The events that change what a VM believes, of which the latest of each counts. */
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
	 * Take the next line of a log.
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
	 * @return the lines by time, with what their VM believed, and the last that decided
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
	 * A line that tells of the request.
	 *
	 * @param line the line
	 * @param sortTime the latest time that its VM has shown so far, which never goes back
	 * @param stateLines what its VM believed, oldest first
	 * @param clockStep by how much the clock went back before it, if it did
	 */
	private record Match(LogLine line, Instant sortTime, List<LogLine> stateLines, Optional<Duration> clockStep) {
	}

}
