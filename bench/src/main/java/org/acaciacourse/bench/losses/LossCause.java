package org.acaciacourse.bench.losses;

import java.util.Arrays;
import java.util.Optional;
import java.util.Set;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.daemon.explain.LogLine;
import org.acaciacourse.daemon.telemetry.LogEvent;

/**
 * Why a request was lost, as the line that tells of its end shows. The first cause that
 * fits is the cause.
 * <p>
 * Immutable and thread safe.
 */
enum LossCause {

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
			LogEvent.REFUSALS_MERGED.label());

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

}
