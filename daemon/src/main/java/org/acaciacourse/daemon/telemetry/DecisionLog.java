package org.acaciacourse.daemon.telemetry;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.ObjectMessage;

/**
 * The decision log: a structured line for each decision that affects a request or changes
 * the process's view of the system. The appender never blocks; lines that do not fit into
 * its queue are dropped.
 * <p>
 * Thread safe: it has no state.
 */
public final class DecisionLog {

	private static final Logger logger = LogManager.getLogger(DecisionLog.class);

	/**
	 * Longer than ids are. Callers choose ids and paths; the queue of the log would keep
	 * megabytes of long ones.
	 */
	static final int MAX_TEXT_CHARS = 512;

	/** More than the parts of usual prompts, and the requests that a crash ends. */
	static final int MAX_ITEMS = 100;

	private DecisionLog() {
	}

	/**
	 * Write a line.
	 * @param event the event
	 * @param values a value for each field of the event, in their order; {@code null} for
	 * an unknown value, whose field is left out
	 */
	public static void write(LogEvent event, Object... values) {
		if (!logger.isInfoEnabled()) {
			return;
		}
		logger.info(new ObjectMessage(line(event, values)));
	}

	static Map<String, Object> line(LogEvent event, Object... values) {
		if (values.length != event.fields().size()) {
			throw new IllegalArgumentException(event + " has " + event.fields().size() + " fields");
		}
		Map<String, Object> line = new LinkedHashMap<>();
		line.put("event", event.label());
		for (int i = 0; i < values.length; i++) {
			if (values[i] != null) {
				line.put(event.fields().get(i), bounded(values[i]));
			}
		}
		return line;
	}

	private static Object bounded(Object value) {
		if (value instanceof CharSequence text && text.length() > MAX_TEXT_CHARS) {
			return text.subSequence(0, MAX_TEXT_CHARS) + "…";
		}
		if (value instanceof List<?> items) {
			return items.stream().limit(MAX_ITEMS).map(DecisionLog::bounded).toList();
		}
		return value;
	}

}
