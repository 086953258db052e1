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
 * The log of a process that must start quickly: loggers that put their lines into a
 * {@link LogQueue}, and a thread that starts some time later to write them as JSON to
 * standard output. Log4j Core and its configuration are not initialized at all: after a
 * power failure all VMs would spend that time simultaneously, while callers wait.
 * <p>
 * Thread safe.
 */
public final class QueuedLog implements LoggerContextFactory, LoggerContext {

	/**
	 * Longer than the time from the start until the backlog after a power failure is
	 * served.
	 */
	private static final long DELAY_MILLIS = 1_500;

	private static Optional<QueuedLog> installed = Optional.empty();

	private final Map<String, ExtendedLogger> loggers = new ConcurrentHashMap<>();

	private final LogQueue queue;

	// Does not use System.out, which writes a line in two parts.
	private QueuedLog(String vm) {
		this.queue = new LogQueue(() -> new JsonLines(new FileOutputStream(FileDescriptor.out), vm), DELAY_MILLIS);
	}

	/**
	 * Make all loggers of the process write to a queue. Must be called before the first
	 * logger is created; later calls return the same queue.
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
		return installed.orElseThrow(() -> new IllegalStateException("QueuedLog.install was not called"));
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
		// The only context lives as long as the process.
	}

	@Override
	public Object getExternalContext() {
		return null;
	}

	@Override
	public ExtendedLogger getLogger(String name) {
		return this.loggers.computeIfAbsent(name, (loggerName) -> new QueuedLogger(loggerName, this.queue));
	}

	// All messages are text or fields that are kept as they are, so one message factory
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
