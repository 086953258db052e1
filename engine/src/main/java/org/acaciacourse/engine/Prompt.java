package org.acaciacourse.engine;

import java.util.List;

/**
 * What is asked of the engine.
 * <p>
 * Immutable and thread safe.
 *
 * @param id the id of the attempt
 * @param key the idempotency key, or empty
 * @param content the caller's last message
 * @param prefix the name of the prompt's prefix, or empty
 * @param priority 0 runs first
 * @param tokens the tokens of the answer
 */
record Prompt(String id, String key, String content, String prefix, int priority, List<String> tokens) {

	Prompt withTokens(List<String> otherTokens) {
		return new Prompt(this.id, this.key, this.content, this.prefix, this.priority, otherTokens);
	}

}
