package org.acaciacourse.daemon.telemetry;

import java.io.PrintStream;
import java.util.Map;
import java.util.Optional;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.Marker;
import org.apache.logging.log4j.message.Message;
import org.apache.logging.log4j.message.ParameterizedMessageFactory;
import org.apache.logging.log4j.simple.SimpleLogger;
import org.apache.logging.log4j.util.PropertiesUtil;

/**
 * A logger that puts its lines into a queue, with the time at which they were logged. It
 * inherits the filtering by level from Log4j's simple logger and does not use its output.
 * <p>
 * Thread safe.
 */
final class QueuedLogger extends SimpleLogger {

	private static final long serialVersionUID = 1L;

	/**
	 * The minimum level per package: INFO for this project, WARN for libraries by
	 * default. The two libraries listed with a higher level warn of each broken
	 * connection.
	 */
	private static final Map<String, Level> LEVELS = Map.of("org.acaciacourse", Level.INFO, "org.apache.thrift",
			Level.OFF, "org.asynchttpclient.netty.request", Level.FATAL);

	private final transient LogQueue queue;

	QueuedLogger(String name, LogQueue queue) {
		super(name, levelOf(name), false, false, false, false, "", ParameterizedMessageFactory.INSTANCE,
				PropertiesUtil.getProperties(), new PrintStream(PrintStream.nullOutputStream()));
		this.queue = queue;
	}

	private static Level levelOf(String name) {
		return LEVELS.entrySet()
			.stream()
			.filter((entry) -> name.equals(entry.getKey()) || name.startsWith(entry.getKey() + "."))
			.map(Map.Entry::getValue)
			.findFirst()
			.orElse(Level.WARN);
	}

	@Override
	public void logMessage(String caller, Level level, Marker marker, Message message, Throwable thrown) {
		this.queue.append(
				new QueuedLogLine(System.currentTimeMillis(), level, getName(), message, Optional.ofNullable(thrown)));
	}

}
