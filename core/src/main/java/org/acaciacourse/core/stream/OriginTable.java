package org.acaciacourse.core.stream;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The origins of streams that an entry VM knows, its own ones and those that others have
 * told it. Invariants: it holds at most {@link #MAX_STREAMS} origins, and each one for
 * {@link #RETENTION_NANOS} after it was last told; if reports about a stream differ, its
 * version counts as unknown.
 * <p>
 * Not thread safe: belongs to one event loop.
 */
final class OriginTable {

	/**
	 * How long a stream that is no longer served can be taken up: longer than callers
	 * wait for a response.
	 */
	static final long RETENTION_NANOS = 120_000_000_000L;

	/** Bounds the memory to a few megabytes. */
	static final int MAX_STREAMS = 10_000;

	/** The one that was told the longest time ago comes first. */
	private final Map<StreamKey, Entry> entries = new LinkedHashMap<>();

	void record(StreamKey key, StreamOrigin origin, long now) {
		Entry before = this.entries.remove(key);
		this.entries.put(key, new Entry((before != null) ? before.origin().mergedWith(origin) : origin, now));
		expire(now);
	}

	Optional<StreamOrigin> find(StreamKey key, long now) {
		expire(now);
		return Optional.ofNullable(this.entries.get(key)).map(Entry::origin);
	}

	private void expire(long now) {
		Iterator<Entry> oldest = this.entries.values().iterator();
		while (oldest.hasNext()
				&& (now - oldest.next().toldAt() > RETENTION_NANOS || this.entries.size() > MAX_STREAMS)) {
			oldest.remove();
		}
	}

	int size() {
		return this.entries.size();
	}

	private record Entry(StreamOrigin origin, long toldAt) {
	}

}
