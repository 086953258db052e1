package org.acaciacourse.bench.losses;

import java.util.Arrays;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.daemon.explain.LogLine;
import org.acaciacourse.daemon.telemetry.LogEvent;

/**
 * Why a request was lost or late, as the line that tells of its end shows. The first
 * cause that fits is the cause.
 * <p>
 * Immutable and thread safe.
 */
enum LossCause {

	/** It was answered late, as it waited for an endpoint. */
	LATE_BY_WAITING("late: no endpoint yet", Set.of()) {
		@Override
		boolean fits(LogLine line) {
			return isFirstLate(line) && partOf(line) == Part.WAITED;
		}
	},

	/** It was answered late, as it took long until it was sent to its last endpoint. */
	LATE_BY_SENDING("late: sent late", Set.of()) {
		@Override
		boolean fits(LogLine line) {
			return isFirstLate(line) && partOf(line) == Part.SENT;
		}
	},

	/** It was answered late, as its endpoint began late. */
	LATE_BY_ENDPOINT("late: endpoint began late", Set.of()) {
		@Override
		boolean fits(LogLine line) {
			return isFirstLate(line);
		}
	},

	/** It began in time, with too long a pause between two events. */
	LATE_BY_PAUSE("late: pause too long", Set.of()) {
		@Override
		boolean fits(LogLine line) {
			return tellsALateAnswer(line);
		}
	},

	/** The caller went away before the answer was whole. */
	CALLER_LEFT("caller left", Set.of(ResultCode.CALLER_GONE)),

	/** Its entry stopped before it was answered. */
	ENTRY_STOPPED("entry stopped", Set.of(ResultCode.STOPPING)),

	/** No endpoint took it until its time was over. */
	WAITED_AT_ENTRY("waited at the entry", Set.of(ResultCode.TARGET_UNREACHABLE, ResultCode.DEADLINE_EXCEEDED)),

	/** Its endpoint had it when its time was over. */
	WAITED_AT_ENDPOINT("waited at the endpoint", Set.of(ResultCode.ENDPOINT_TIMEOUT)),

	/** The endpoint answered with a failure of its own. */
	ENDPOINT_FAILED("endpoint failed", Set.of(ResultCode.ENDPOINT_ERROR)),

	/** The answer broke off, and no other endpoint could go on. */
	ENDPOINT_LOST("endpoint lost",
			Set.of(ResultCode.ENDPOINT_LOST, ResultCode.ANSWER_TRUNCATED, ResultCode.ANSWER_MISMATCH,
					ResultCode.RETRIES_EXHAUSTED)),

	/** It was refused and has not run. */
	REFUSED("refused", Set.of()) {
		@Override
		boolean fits(LogLine line) {
			return line.event().equals(LogEvent.REQUEST_REFUSED.label())
					|| line.event().equals(LogEvent.REFUSALS_MERGED.label())
					|| line.fields().path("run").asText().equals("not-run");
		}
	},

	/** None of the others. */
	OTHER("other", Set.of()) {
		@Override
		boolean fits(LogLine line) {
			return true;
		}
	};

	private static final Set<String> ENDS = Set.of(LogEvent.REQUEST_FAILED.label(), LogEvent.REQUEST_REFUSED.label(),
			LogEvent.REFUSALS_MERGED.label(), LogEvent.REQUEST_LATE.label());

	private final String label;

	private final Set<ResultCode> codes;

	LossCause(String label, Set<ResultCode> codes) {
		this.label = label;
		this.codes = codes;
	}

	/**
	 * Return the name in tables.
	 * @return a few words
	 */
	String label() {
		return this.label;
	}

	/**
	 * Return whether the request was answered all the same.
	 * @return whether it was late, and not lost
	 */
	boolean isLate() {
		return compareTo(LATE_BY_PAUSE) <= 0;
	}

	private static boolean tellsALateAnswer(LogLine line) {
		return line.event().equals(LogEvent.REQUEST_LATE.label());
	}

	private static boolean isFirstLate(LogLine line) {
		JsonNode fields = line.fields();
		return tellsALateAnswer(line) && fields.path("first_ms").asLong() > fields.path("target_ms").asLong();
	}

	// Where the longest part of the time until the first event went.
	private static Part partOf(LogLine line) {
		JsonNode fields = line.fields();
		long waited = fields.path("waited_ms").asLong();
		long sending = fields.path("sent_ms").asLong() - waited;
		long answering = fields.path("first_ms").asLong() - fields.path("sent_ms").asLong();
		if (waited >= Math.max(sending, answering)) {
			return Part.WAITED;
		}
		return (sending >= answering) ? Part.SENT : Part.ANSWERED;
	}

	boolean fits(LogLine line) {
		return ResultCode.ofNumber(line.fields().path("code").asInt()).filter(this.codes::contains).isPresent();
	}

	/**
	 * Find the cause that a line tells.
	 * @param line the line
	 * @return the cause, nothing if the line does not tell the end of a lost request
	 */
	static Optional<LossCause> of(LogLine line) {
		if (!ENDS.contains(line.event())) {
			return Optional.empty();
		}
		return Arrays.stream(values()).filter((cause) -> cause.fits(line)).findFirst();
	}

	/** The parts of the time until the first event. */
	private enum Part {

		WAITED, SENT, ANSWERED

	}

}
