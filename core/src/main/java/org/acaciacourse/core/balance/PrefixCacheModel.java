package org.acaciacourse.core.balance;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The shared prompt parts that one engine is likely to have in its cache, derived from
 * the requests of all entry VMs. It evicts the least recently used part, as the engines
 * do. Without the uses at the other entry VMs, a part that one of them had prefilled
 * elsewhere would be prefilled a third and a fourth time.
 * <p>
 * Invariant: the parts together never exceed the capacity, unless there is only one, and
 * there are at most {@link #MAX_PARTS}.
 * <p>
 * Not thread safe: belongs to one {@link EndpointLoad}.
 */
final class PrefixCacheModel {

	/**
	 * The fraction of an engine's cache that is left for shared parts besides the running
	 * requests: a full batch of common prompts takes about half of it.
	 */
	private static final double SHARED_PREFIX_FRACTION = 0.5;

	/** Current engines hold at least this many tokens. Used until the capacity is set. */
	private static final long DEFAULT_ENGINE_TOKENS = 400_000;

	/**
	 * More parts than an engine holds. The tokens alone do not bound the memory, as a
	 * caller can name any number of parts without tokens.
	 */
	static final int MAX_PARTS = 1_024;

	private final Map<Long, Long> tokensByPart = new LinkedHashMap<>(16, 0.75f, true);

	private long capacity = (long) (DEFAULT_ENGINE_TOKENS * SHARED_PREFIX_FRACTION);

	private long tokens;

	/**
	 * Set the capacity of the engine's cache.
	 * @param tokens the tokens that it can hold, including those of running requests
	 */
	void engineCacheTokens(long tokens) {
		this.capacity = (long) (tokens * SHARED_PREFIX_FRACTION);
		evict();
	}

	/**
	 * Record that the engine prefills or uses a part.
	 * @param part the part
	 */
	void recordUse(PromptShape.Part part) {
		// The size comes from callers and datagrams: an invalid one must not corrupt the
		// sum.
		long size = Math.max(0, Math.min(this.capacity, part.tokens()));
		Long before = this.tokensByPart.put(part.id(), size);
		this.tokens += size - ((before != null) ? before : 0);
		evict();
	}

	private void evict() {
		Iterator<Long> eldest = this.tokensByPart.values().iterator();
		while (this.tokensByPart.size() > MAX_PARTS || this.tokens > this.capacity && this.tokensByPart.size() > 1) {
			this.tokens -= eldest.next();
			eldest.remove();
		}
	}

	/**
	 * Return how much of a prompt need not be prefilled: an engine reuses the longest run
	 * of leading parts that is cached.
	 * @param shape the prompt
	 * @return the tokens of the leading shared parts that are cached
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

	/** Empty the model, after a restart of the engine. */
	void clear() {
		this.tokensByPart.clear();
		this.tokens = 0;
	}

}
