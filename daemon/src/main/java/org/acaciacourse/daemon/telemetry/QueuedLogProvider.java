package org.acaciacourse.daemon.telemetry;

import org.apache.logging.log4j.spi.LoggerContextFactory;
import org.apache.logging.log4j.spi.Provider;

/**
 * Tells Log4j's interface to take its loggers from {@link QueuedLog}. Named by a system
 * property, so that no other provider is looked for.
 * <p>
 * Immutable and thread safe.
 */
public final class QueuedLogProvider extends Provider {

	/** There is no other one to choose from. */
	private static final int ANY_PRIORITY = 1;

	/** Made by Log4j. */
	public QueuedLogProvider() {
		super(ANY_PRIORITY, CURRENT_VERSION, QueuedLog.class);
	}

	@Override
	public LoggerContextFactory getLoggerContextFactory() {
		return QueuedLog.instance();
	}

}
