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
final class PrefixCacheModel {

	/**
	 * The part of an engine's memory that is left for shared parts beside the requests
	 * that run: a full batch of common prompts takes about half of it.
	 */
	private static final double SHARED_PREFIX_FRACTION = 0.5;

	/** Engines of today hold this many tokens or more; until the size is told. */
	private static final long DEFAULT_ENGINE_TOKENS = 400_000;

	private final Map<Long, Long> tokensByPart = new LinkedHashMap<>(16, 0.75f, true);

	private long capacity = (long) (DEFAULT_ENGINE_TOKENS * SHARED_PREFIX_FRACTION);

	private long tokens;

	/**
	 * Set the size of the engine's memory.
	 * @param tokens the tokens that it holds, with those of running requests
	 */
	void engineCacheTokens(long tokens) {
		this.capacity = (long) (tokens * SHARED_PREFIX_FRACTION);
		evict();
	}

	/**
	 * The engine reads or uses a part.
	 * @param part the part
	 */
	void recordUse(PromptShape.Part part) {
		// Callers and datagrams tell the size: a wrong one must not spoil the sum.
		long size = Math.max(0, Math.min(this.capacity, part.tokens()));
		Long before = this.tokensByPart.put(part.id(), size);
		this.tokens += size - ((before != null) ? before : 0);
		evict();
	}

	private void evict() {
		Iterator<Long> eldest = this.tokensByPart.values().iterator();
		while (this.tokens > this.capacity && this.tokensByPart.size() > 1) {
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
	long cachedTokens(PromptShape shape) {
		long cached = 0;
		for (int i = 0; i < shape.parts().size() - 1; i++) {
			PromptShape.Part part = shape.parts().get(i);
			if (!this.tokensByPart.containsKey(part.id())) {
				break;
			}
			cached += part.tokens();
		}
		return cached;
	}

	/** The engine started again: it holds nothing. */
	void clear() {
		this.tokensByPart.clear();
		this.tokens = 0;
	}

}
