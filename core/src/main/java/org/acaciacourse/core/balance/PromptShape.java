package org.acaciacourse.core.balance;

import java.util.List;

/**
 * The size of a request's prompt and the parts of it that other requests share.
 * <p>
 * Immutable and thread safe.
 *
 * @param promptTokens the tokens of the prompt, 0 if unknown
 * @param outputTokens the maximum number of tokens of the response, 0 if unknown
 * @param parts the parts of the prompt in order; the last one is the request's own
 */
public record PromptShape(long promptTokens, long outputTokens, List<Part> parts) {

	/**
	 * The number of preceding tokens at which attention takes as long as the rest of the
	 * work on a token; of the order of what current engines show.
	 */
	private static final double TOKENS_PER_COMPARISON = 31_000;

	/** A request without a prompt. */
	public static final PromptShape NONE = new PromptShape(0, 0, List.of());

	public PromptShape {
		parts = List.copyOf(parts);
	}

	/**
	 * Return the parts that an engine may have cached from earlier requests.
	 * @return all parts but the last
	 */
	public List<Part> sharedParts() {
		return this.parts.subList(0, Math.max(0, this.parts.size() - 1));
	}

	/**
	 * Return the tokens that an engine may have cached from earlier requests.
	 * @return the tokens of all parts but the last
	 */
	public long sharedTokens() {
		// Called for each engine at each placement: a stream would cost more than the
		// rest.
		long tokens = 0;
		for (int i = 0; i < this.parts.size() - 1; i++) {
			tokens += this.parts.get(i).tokens();
		}
		return tokens;
	}

	/**
	 * Return the prefill work on the prompt, in tokens of a short prompt. Attention
	 * compares each token with all preceding ones, so that the work grows faster than the
	 * prompt.
	 * @param cached the tokens that the engine has in its cache
	 * @return the work
	 */
	public long work(long cached) {
		long uncached = Math.max(0, this.promptTokens - cached);
		double before = cached + uncached / 2.0;
		return (long) (uncached * (1 + before / TOKENS_PER_COMPARISON));
	}

	/**
	 * Return an id that requests with the same shared parts have in common.
	 * @return the id of the last shared part, 0 if nothing is shared
	 */
	public long sharedId() {
		return (this.parts.size() < 2) ? 0 : this.parts.get(this.parts.size() - 2).id();
	}

	/**
	 * A part of a prompt.
	 *
	 * @param id its id
	 * @param tokens its number of tokens
	 */
	public record Part(long id, long tokens) {

		public Part {
			if (tokens < 0) {
				throw new IllegalArgumentException("negative token count of a prompt part: " + tokens);
			}
		}

		// Written by hand: the generated methods are linked at their first use, which
		// takes some tens of milliseconds and delays the first callers after a start.
		@Override
		public boolean equals(Object other) {
			return this == other || (other instanceof Part that && this.id == that.id && this.tokens == that.tokens);
		}

		@Override
		public int hashCode() {
			int hash = Long.hashCode(this.id);
			hash = 31 * hash + Long.hashCode(this.tokens);
			return hash;
		}

	}

}
