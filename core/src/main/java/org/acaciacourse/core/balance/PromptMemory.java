package org.acaciacourse.core.balance;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The shared parts of prompts that one engine is likely to hold, from what all entry VMs
 * had it read. Follows the rule of the engines themselves: the part that was used least
 * recently makes room. Without the uses of the other entries a part that one of them had
 * read elsewhere is read a third and a fourth time.
 * <p>
 * Invariant: the parts held never exceed the capacity together, unless a single one does.
 * <p>
 * Not thread safe: belongs to one {@link EndpointLoad}.
 */
final class PromptMemory {

	/**
	 * The part of an engine's memory that is left for shared parts beside the requests
	 * that run: a full batch of common prompts takes about half of it.
	 */
	private static final double SHARE_FOR_PARTS = 0.5;

	/** Engines of today hold this many tokens or more; until the size is told. */
	private static final long USUAL_TOKENS = 400_000;

	private final Map<Long, Long> parts = new LinkedHashMap<>(16, 0.75f, true);

	private long capacity = (long) (USUAL_TOKENS * SHARE_FOR_PARTS);

	private long tokens;

	/**
	 * Set the size of the engine's memory.
	 * @param engineTokens the tokens that it holds, with those of running requests
	 */
	void engineTokens(long engineTokens) {
		this.capacity = (long) (engineTokens * SHARE_FOR_PARTS);
		evict();
	}

	/**
	 * The engine reads or uses a part.
	 * @param part the part
	 */
	void use(PromptShape.Part part) {
		// Callers and datagrams tell the size: a wrong one must not spoil the sum.
		long size = Math.max(0, Math.min(this.capacity, part.tokens()));
		Long before = this.parts.put(part.id(), size);
		this.tokens += size - ((before != null) ? before : 0);
		evict();
	}

	private void evict() {
		Iterator<Long> eldest = this.parts.values().iterator();
		while (this.tokens > this.capacity && this.parts.size() > 1) {
			this.tokens -= eldest.next();
			eldest.remove();
		}
	}

	/**
	 * Return how much of a prompt need not be read: an engine goes on after the first
	 * parts that it holds.
	 * @param shape the prompt
	 * @return the tokens of the leading shared parts that are held
	 */
	long held(PromptShape shape) {
		long held = 0;
		for (int i = 0; i < shape.parts().size() - 1; i++) {
			PromptShape.Part part = shape.parts().get(i);
			if (!this.parts.containsKey(part.id())) {
				break;
			}
			held += part.tokens();
		}
		return held;
	}

	/** The engine started again: it holds nothing. */
	void forget() {
		this.parts.clear();
		this.tokens = 0;
	}

}
