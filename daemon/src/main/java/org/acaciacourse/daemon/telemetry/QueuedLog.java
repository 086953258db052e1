package org.acaciacourse.daemon.telemetry;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.net.URI;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import org.apache.logging.log4j.message.MessageFactory;
import org.apache.logging.log4j.spi.ExtendedLogger;
import org.apache.logging.log4j.spi.LoggerContext;
import org.apache.logging.log4j.spi.LoggerContextFactory;
import org.apache.logging.log4j.spi.Provider;

/**
 * The log of a process whose start must be short: loggers that put their lines into a
 * {@link LogQueue}, and a thread that begins some time later to write them as JSON to
 * standard output. Log4j's core and its configuration are not started at all: after a
 * loss of power all VMs would pay for that at once, while callers wait.
 * <p>
 * Thread safe.
 */
public final class QueuedLog implements LoggerContextFactory, LoggerContext {

	/**
	 * Longer than it takes from the start until the backlog of a loss of power is served.
	 */
	private static final long DELAY_MILLIS = 1_500;

	private static Optional<QueuedLog> installed = Optional.empty();

	private final Map<String, ExtendedLogger> loggers = new ConcurrentHashMap<>();

	private final LogQueue queue;

	// Without System.out, which writes a line in two parts.
	private QueuedLog(String vm) {
		this.queue = new LogQueue(() -> new JsonLines(new FileOutputStream(FileDescriptor.out), vm), DELAY_MILLIS);
	}

	/**
	 * Let all loggers of the process write to a queue. Called before the first logger is
	 * made; later ones go on as before.
	 * @param vm the name of the VM, a field of each line
	 * @return the queue
	 */
	public static synchronized LogQueue install(String vm) {
		if (installed.isEmpty()) {
			System.setProperty(Provider.PROVIDER_PROPERTY_NAME, QueuedLogProvider.class.getName());
			installed = Optional.of(new QueuedLog(vm));
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
		return this.loggers.computeIfAbsent(name, (loggerName) -> new QueuedLogger(loggerName, this.queue));
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
