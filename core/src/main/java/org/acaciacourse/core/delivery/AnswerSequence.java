package org.acaciacourse.core.delivery;

/**
 * Passes the tokens of one answer on in order, each exactly once, whichever attempts they
 * come from: after a resumed or repeated attempt the tokens that the caller has already
 * are skipped, and a gap is refused.
 * <p>
 * Only the count of tokens is held, so that an answer of any length costs the same.
 * <p>
 * Not thread safe: it belongs to the thread that owns the request.
 */
public final class AnswerSequence {

	private long forwarded;

	private long currentAttempt;

	private boolean ended;

	/**
	 * Let an attempt be the one whose tokens count from now on.
	 * @param attemptId the attempt
	 */
	public void follow(long attemptId) {
		this.currentAttempt = attemptId;
	}

	/**
	 * Judge a token.
	 * @param attemptId the attempt that it came from
	 * @param index its place in the whole answer, from 0
	 * @return what to do with it
	 */
	public Verdict token(long attemptId, long index) {
		if (this.ended || attemptId != this.currentAttempt) {
			return Verdict.FOREIGN;
		}
		if (index < this.forwarded) {
			return Verdict.SKIP;
		}
		if (index > this.forwarded) {
			return Verdict.GAP;
		}
		this.forwarded++;
		return Verdict.PASS;
	}

	/**
	 * Judge the end mark of an answer.
	 * @param attemptId the attempt that it came from
	 * @return whether the answer is whole and ends now
	 */
	public boolean end(long attemptId) {
		if (this.ended || attemptId != this.currentAttempt) {
			return false;
		}
		this.ended = true;
		return true;
	}

	/**
	 * Return how many tokens the caller has.
	 * @return the number of tokens, where a resumed attempt goes on
	 */
	public long passedOn() {
		return this.forwarded;
	}

	/**
	 * Return whether the end mark was passed on.
	 * @return whether the answer is whole
	 */
	public boolean isEnded() {
		return this.ended;
	}

	/**
	 * What to do with a token.
	 */
	public enum Verdict {

		/** Pass it on to the caller. */
		PASS,

		/** The caller has it already. */
		SKIP,

		/** Tokens before it are missing: the attempt can't be used. */
		GAP,

		/** It belongs to another attempt or to an answer that ended: discard it. */
		FOREIGN

	}

}
