package org.acaciacourse.daemon.telemetry;

import java.net.URI;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import org.apache.logging.log4j.core.Appender;
import org.apache.logging.log4j.core.impl.Log4jContextFactory;
import org.apache.logging.log4j.message.MessageFactory;
import org.apache.logging.log4j.spi.ExtendedLogger;
import org.apache.logging.log4j.spi.LoggerContext;
import org.apache.logging.log4j.spi.LoggerContextFactory;
import org.apache.logging.log4j.spi.Provider;

/**
 * The log of a process whose start must be short: loggers that put their lines into a
 * {@link LogQueue}, and the thread that writes them starts Log4j's core and its
 * configuration some time later. After a loss of power of all VMs an entry serves a tenth
 * of a second sooner, in which it would read the configuration of its log.
 * <p>
 * Thread safe.
 */
public final class QueuedLog implements LoggerContextFactory, LoggerContext {

	/**
	 * Longer than it takes from the start until the backlog of a loss of power is served.
	 */
	private static final long DELAY_MILLIS = 1_500;

	/** The appender in the configuration of the log. */
	private static final String APPENDER = "json";

	private static Optional<QueuedLog> installed = Optional.empty();

	private final Map<String, ExtendedLogger> loggers = new ConcurrentHashMap<>();

	private final LogQueue queue = new LogQueue(QueuedLog::appender, DELAY_MILLIS);

	private QueuedLog() {
	}

	/**
	 * Let all loggers of the process write to a queue. Called before the first logger is
	 * made; later ones go on as before.
	 * @return the queue
	 */
	public static synchronized LogQueue install() {
		if (installed.isEmpty()) {
			System.setProperty(Provider.PROVIDER_PROPERTY_NAME, QueuedLogProvider.class.getName());
			installed = Optional.of(new QueuedLog());
			installed.get().queue.start();
		}
		return installed.get().queue;
	}

	static synchronized QueuedLog instance() {
		return installed.orElseThrow(() -> new IllegalStateException("no queue was installed"));
	}

	static synchronized Optional<LogQueue> queue() {
		return installed.map((log) -> log.queue);
	}

	private static Appender appender() {
		var context = new Log4jContextFactory().getContext(QueuedLog.class.getName(), null, null, false);
		return context.getConfiguration().getAppender(APPENDER);
	}

	@Override
	public LoggerContext getContext(String caller, ClassLoader loader, Object external, boolean current) {
		return this;
	}

	@Override
	public LoggerContext getContext(String caller, ClassLoader loader, Object external, boolean current,
			URI configuration, String name) {
		return this;
	}

	@Override
	public void removeContext(LoggerContext context) {
		// There is one, for as long as the process lives.
	}

	@Override
	public Object getExternalContext() {
		return null;
	}

	@Override
	public ExtendedLogger getLogger(String name) {
		return this.loggers.computeIfAbsent(name, (made) -> new QueuedLogger(made, this.queue));
	}

	// All messages are text or fields that are kept as they are: one way to make them
	// suffices.
	@Override
	public ExtendedLogger getLogger(String name, MessageFactory factory) {
		return getLogger(name);
	}

	@Override
	public boolean hasLogger(String name) {
		return this.loggers.containsKey(name);
	}

	@Override
	public boolean hasLogger(String name, MessageFactory factory) {
		return hasLogger(name);
	}

	@Override
	public boolean hasLogger(String name, Class<? extends MessageFactory> factory) {
		return hasLogger(name);
	}

}
