package org.acaciacourse.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Prompt prefixes in limited memory, the least recently used one dropped first. Its
 * events come late, and each seventh is lost, as those of real engines are.
 * <p>
 * Thread safe: all methods are synchronized.
 */
final class PrefixCache {

	private static final int LOST_EACH = 7;

	private static final int KEPT_EVENTS = 4_096;

	private final Map<String, Integer> held = new LinkedHashMap<>(16, 0.75f, true);

	private final Deque<Event> events = new ArrayDeque<>();

	private final long limitBytes;

	private final long lagNanos;

	private long usedBytes;

	private long sequence;

	PrefixCache(long limitBytes, long lagNanos) {
		this.limitBytes = limitBytes;
		this.lagNanos = lagNanos;
	}

	/**
	 * Use a prefix and hold it from now on.
	 * @param prefix the prefix, empty for none
	 * @param bytes the memory that it takes
	 * @param now the time
	 * @return whether it was held before
	 */
	synchronized boolean use(String prefix, int bytes, long now) {
		if (prefix.isEmpty()) {
			return false;
		}
		if (this.held.get(prefix) != null) {
			return true;
		}
		this.held.put(prefix, bytes);
		this.usedBytes += bytes;
		note(prefix, true, now);
		evict(now);
		return false;
	}

	synchronized ObjectNode eventsSince(long since, long now) {
		ObjectNode answer = JsonNodeFactory.instance.objectNode();
		long next = since;
		ArrayNode list = JsonNodeFactory.instance.arrayNode();
		for (Event event : this.events) {
			if (event.sequence <= since || now - event.time < this.lagNanos) {
				continue;
			}
			next = event.sequence;
			list.addObject().put("sequence", event.sequence).put("prefix", event.prefix).put("held", event.held);
		}
		answer.put("next", next);
		answer.set("events", list);
		return answer;
	}

	private void evict(long now) {
		Iterator<Map.Entry<String, Integer>> oldest = this.held.entrySet().iterator();
		while (this.usedBytes > this.limitBytes && oldest.hasNext()) {
			Map.Entry<String, Integer> entry = oldest.next();
			oldest.remove();
			this.usedBytes -= entry.getValue();
			note(entry.getKey(), false, now);
		}
	}

	private void note(String prefix, boolean isHeld, long now) {
		this.sequence++;
		if (this.sequence % LOST_EACH != 0) {
			this.events.add(new Event(this.sequence, prefix, isHeld, now));
		}
		if (this.events.size() > KEPT_EVENTS) {
			this.events.remove();
		}
	}

	private record Event(long sequence, String prefix, boolean held, long time) {
	}

}
