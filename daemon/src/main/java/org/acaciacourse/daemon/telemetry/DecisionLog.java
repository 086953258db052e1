package org.acaciacourse.daemon.telemetry;

import java.util.LinkedHashMap;
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
		if (values.length != event.fields().size()) {
			throw new IllegalArgumentException(event + " has " + event.fields().size() + " fields");
		}
		Map<String, Object> line = new LinkedHashMap<>();
		line.put("event", event.label());
		for (int i = 0; i < values.length; i++) {
			if (values[i] != null) {
				line.put(event.fields().get(i), values[i]);
			}
		}
		logger.info(new ObjectMessage(line));
	}

}
