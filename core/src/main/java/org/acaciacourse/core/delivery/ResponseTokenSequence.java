package org.acaciacourse.core.delivery;

/**
 * Decides which tokens of a response are forwarded, so that the caller receives each
 * token exactly once and in order, whichever attempt it comes from. When an attempt is
 * resumed or repeated, the tokens that the caller already has are skipped; tokens after a
 * gap are rejected.
 * <p>
 * Only the number of tokens is stored, so that the memory does not depend on the length
 * of the response.
 * <p>
 * Not thread safe: it belongs to the thread that owns the request.
 */
public final class ResponseTokenSequence {

	private long forwarded;

	private long currentAttempt;

	private boolean ended;

	/**
	 * Accept only the tokens of the given attempt from now on.
	 * @param attemptId the id of the attempt
	 */
	public void switchToAttempt(long attemptId) {
		this.currentAttempt = attemptId;
	}

	/**
	 * Decide whether to forward a token, and count it if so.
	 * @param attemptId the id of the attempt that it came from
	 * @param index its index in the whole response, from 0
	 * @return what to do with the token
	 */
	public Verdict token(long attemptId, long index) {
		if (this.ended || attemptId != this.currentAttempt) {
			return Verdict.DISCARD;
		}
		if (index < this.forwarded) {
			return Verdict.SKIP;
		}
		if (index > this.forwarded) {
			return Verdict.GAP;
		}
		this.forwarded++;
		return Verdict.FORWARD;
	}

	/**
	 * Handle the end marker of a response.
	 * @param attemptId the id of the attempt that it came from
	 * @return whether the response is complete with this marker
	 */
	public boolean end(long attemptId) {
		if (this.ended || attemptId != this.currentAttempt) {
			return false;
		}
		this.ended = true;
		return true;
	}

	/**
	 * Return the number of tokens that were forwarded to the caller.
	 * @return the number of tokens, which is the index at which a resumed attempt
	 * continues
	 */
	public long forwardedTokens() {
		return this.forwarded;
	}

	/**
	 * Return whether the end marker was accepted.
	 * @return whether the response is complete
	 */
	public boolean isEnded() {
		return this.ended;
	}

	/**
	 * What to do with a token.
	 */
	public enum Verdict {

		/** Forward it to the caller. */
		FORWARD,

		/** Skip it: the caller already has it. */
		SKIP,

		/** Tokens before it are missing: the attempt cannot be used. */
		GAP,

		/** Discard it: it belongs to another attempt, or the response is complete. */
		DISCARD

	}

}
