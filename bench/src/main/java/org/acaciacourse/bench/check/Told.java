package org.acaciacourse.bench.check;

import java.util.Objects;

import org.acaciacourse.core.code.RunState;

/**
 * What a caller was told at the end of one call.
 * <p>
 * Immutable and thread safe.
 *
 * @param content the text that the call sent, unique to the request; a resend repeats it
 * @param idempotencyKey the key of a request that may not be repeated, else empty
 * @param outcome how the call ended for the caller
 * @param text the answer as received, in part for {@link Outcome#CUT}
 * @param code the numbered code of a refusal, else 0
 * @param run what the refusal said about the request having run; {@link RunState#UNKNOWN}
 * if it said nothing
 */
public record Told(String content, String idempotencyKey, Outcome outcome, String text, int code, RunState run) {

	public Told {
		Objects.requireNonNull(content, "content");
		Objects.requireNonNull(idempotencyKey, "idempotencyKey");
		Objects.requireNonNull(outcome, "outcome");
		Objects.requireNonNull(text, "text");
		Objects.requireNonNull(run, "run");
	}

	/**
	 * Create what an answered caller was told.
	 * @param content the text that the call sent
	 * @param idempotencyKey the key, or empty
	 * @param text the answer
	 * @return what was told
	 */
	public static Told answered(String content, String idempotencyKey, String text) {
		return new Told(content, idempotencyKey, Outcome.ANSWERED, text, 0, RunState.RUN);
	}

	/**
	 * Create what a refused caller was told.
	 * @param content the text that the call sent
	 * @param idempotencyKey the key, or empty
	 * @param code the numbered code
	 * @param run what was said about the request having run
	 * @return what was told
	 */
	public static Told refused(String content, String idempotencyKey, int code, RunState run) {
		return new Told(content, idempotencyKey, Outcome.REFUSED, "", code, run);
	}

	/**
	 * Create what a caller knows whose connection broke.
	 * @param content the text that the call sent
	 * @param idempotencyKey the key, or empty
	 * @param text what had been received of the answer
	 * @return what was told
	 */
	public static Told cut(String content, String idempotencyKey, String text) {
		return new Told(content, idempotencyKey, Outcome.CUT, text, 0, RunState.UNKNOWN);
	}

	/** How a call ended for its caller. */
	public enum Outcome {

		/** The whole answer came. */
		ANSWERED,

		/** A refusal or an error with a code came. */
		REFUSED,

		/** The connection broke without an end of the answer and without a code. */
		CUT

	}

}
