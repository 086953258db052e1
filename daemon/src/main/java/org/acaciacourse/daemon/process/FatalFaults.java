package org.acaciacourse.daemon.process;

import java.util.function.IntConsumer;

import org.acaciacourse.core.code.ResultCode;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Ends the process, so that it is started again, if an essential thread ends by a fault
 * or any thread by an {@link Error}: it would otherwise look alive and not do its work.
 * <p>
 * Thread safe.
 */
public final class FatalFaults implements Thread.UncaughtExceptionHandler {

	private final Runnable flush;

	private final IntConsumer exit;

	FatalFaults(Runnable flush, IntConsumer exit) {
		this.flush = flush;
		this.exit = exit;
	}

	/**
	 * Watch all threads of this process.
	 * @param flush writes the lines that the log still holds
	 */
	public static void install(Runnable flush) {
		// Shutdown hooks may need what the process lacks.
		Thread.setDefaultUncaughtExceptionHandler(new FatalFaults(flush, Runtime.getRuntime()::halt));
	}

	/**
	 * Report an error that an executor would keep to itself.
	 * @param error the error that the current thread has met
	 */
	public static void report(Error error) {
		Thread thread = Thread.currentThread();
		thread.getUncaughtExceptionHandler().uncaughtException(thread, error);
	}

	@Override
	public void uncaughtException(Thread thread, Throwable fault) {
		if (!(fault instanceof Error) && !(thread instanceof EssentialThread)) {
			logger().error("thread {} ended by a fault", thread.getName(), fault);
			return;
		}
		ResultCode code = (fault instanceof OutOfMemoryError) ? ResultCode.OUT_OF_MEMORY : ResultCode.INTERNAL;
		try {
			logger().fatal("{} {}: thread {} ended by a fault; ending the process", code.number(), code.text(),
					thread.getName(), fault);
			this.flush.run();
		}
		finally {
			this.exit.accept(code.exitStatus());
		}
	}

	// Created on demand, as the log is installed after this handler.
	private static Logger logger() {
		return LogManager.getLogger(FatalFaults.class);
	}

}
