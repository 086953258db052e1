package org.acaciacourse.daemon.route;

import java.util.OptionalLong;

/**
 * How far the answer to one attempt has come: when it began, and whether its endpoint has
 * survived the parts of the prompt. Endpoints that a part crashes do so when they begin
 * to answer.
 * <p>
 * Invariant: the survival is reported once at most, and never for the rest of a resumed
 * stream, whose beginning was written by another endpoint.
 * <p>
 * Not thread safe: belongs to one attempt.
 */
final class AnswerProgress {

	private final boolean resumed;

	private long beganAt;

	private boolean survivalReported;

	/**
	 * Create the progress of an answer that has not begun.
	 * @param resumed whether it continues a stream of another endpoint
	 */
	AnswerProgress(boolean resumed) {
		this.resumed = resumed;
	}

	void eventReceived(long now) {
		if (!hasBegun()) {
			this.beganAt = now;
		}
	}

	boolean hasBegun() {
		return this.beganAt != 0;
	}

	/**
	 * Return how long the answer has been in progress.
	 * @param now the time
	 * @return nanoseconds since its first event, empty if there was none
	 */
	OptionalLong nanos(long now) {
		return (hasBegun()) ? OptionalLong.of(now - this.beganAt) : OptionalLong.empty();
	}

	/**
	 * Return whether it is to be reported now that the endpoint has survived.
	 * @param now the time
	 * @param complete whether the answer is complete
	 * @return whether the answer has been in progress for long enough, for the first time
	 */
	boolean reportsSurvival(long now, boolean complete) {
		boolean survived = hasBegun() && (complete || now - this.beganAt >= LostRequest.SURVIVAL_NANOS);
		if (!survived || this.resumed || this.survivalReported) {
			return false;
		}
		this.survivalReported = true;
		return true;
	}

}
