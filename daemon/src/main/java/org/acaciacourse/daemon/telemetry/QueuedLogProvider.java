package org.acaciacourse.daemon.telemetry;

import org.apache.logging.log4j.spi.LoggerContextFactory;
import org.apache.logging.log4j.spi.Provider;

/**
 * Makes the Log4j API take its loggers from {@link QueuedLog}. It is named by a system
 * property, so that Log4j does not search for other providers.
 * <p>
 * Immutable and thread safe.
 */
public final class QueuedLogProvider extends Provider {

	/** Any value does, as there is no other provider. */
	private static final int ANY_PRIORITY = 1;

	/** Called by Log4j. */
	public QueuedLogProvider() {
		super(ANY_PRIORITY, CURRENT_VERSION, QueuedLog.class);
	}

	@Override
	public LoggerContextFactory getLoggerContextFactory() {
		return QueuedLog.instance();
	}

}
