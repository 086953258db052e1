package org.acaciacourse.daemon.telemetry;

import java.util.Optional;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.message.Message;
import org.apache.logging.log4j.message.ObjectMessage;
import org.apache.logging.log4j.message.SimpleMessage;

/**
 * A log line that another thread writes later. Text is formatted on creation, as its
 * parameters may change afterwards.
 * <p>
 * Immutable and thread safe, if the fields of a structured message are.
 *
 * @param at when it was logged, in Unix milliseconds
 * @param level the level
 * @param logger the name of the logger
 * @param message the text, or the fields of a structured line
 * @param thrown the exception to log
 */
record QueuedLogLine(long at, Level level, String logger, Message message, Optional<Throwable> thrown) {
	QueuedLogLine {
		message = (message instanceof ObjectMessage) ? message : new SimpleMessage(message.getFormattedMessage());
	}
}
