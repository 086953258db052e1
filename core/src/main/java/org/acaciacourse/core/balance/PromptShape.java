package org.acaciacourse.core.balance;

import java.util.List;

/**
 * The size of a request's prompt and the parts of it that other requests share.
 * <p>
 * Immutable and thread safe.
 *
 * @param promptTokens the tokens of the prompt, 0 if unknown
 * @param outputTokens the most tokens of the answer, 0 if unknown
 * @param parts the parts of the prompt in order; the last one is the request's own
 */
public record PromptShape(long promptTokens, long outputTokens, List<Part> parts) {

	/** A request without a prompt. */
	public static final PromptShape NONE = new PromptShape(0, 0, List.of());

	public PromptShape {
		parts = List.copyOf(parts);
	}

	/**
	 * Return the tokens that an engine may hold from requests before.
	 * @return the tokens of all parts but the last
	 */
	public long sharedTokens() {
		long shared = 0;
		for (int i = 0; i < this.parts.size() - 1; i++) {
			shared += this.parts.get(i).tokens();
		}
		return shared;
	}

	/**
	 * Return what requests with the same shared parts have in common.
	 * @return the id of the last shared part, 0 if nothing is shared
	 */
	public long sharedId() {
		return (this.parts.size() < 2) ? 0 : this.parts.get(this.parts.size() - 2).id();
	}

	/**
	 * A part of a prompt.
	 *
	 * @param id its id
	 * @param tokens its tokens
	 */
	public record Part(long id, long tokens) {
	}

}
