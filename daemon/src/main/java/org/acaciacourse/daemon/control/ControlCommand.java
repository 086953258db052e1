package org.acaciacourse.daemon.control;

import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vavr.control.Either;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.settings.Settings;
import org.acaciacourse.daemon.cli.Command;
import org.acaciacourse.daemon.cli.SettingsFile;
import org.acaciacourse.daemon.cli.StopSignal;

/**
 * Runs a control VM until a signal or a fault ends it.
 * <p>
 * Not thread safe.
 */
@Parameters(commandDescription = "Run a control VM: replicated configuration, leases and claims")
public final class ControlCommand implements Command {

	@Parameter(names = "--settings", required = true, description = "Settings file")
	private String settings;

	@Override
	public String name() {
		return "control";
	}

	@Override
	public ResultCode run() throws Exception {
		Either<ResultCode, Settings> read = SettingsFile.read(Path.of(this.settings), Set.of("vm", "inner", "control"));
		if (read.isLeft()) {
			return read.getLeft();
		}
		StopSignal signal = new StopSignal();
		ControlDaemon daemon = new ControlDaemon(ControlOptions.of(read.get()));
		ResultCode started = daemon.start();
		if (started != ResultCode.OK) {
			System.err.println(started.number() + " " + started.text());
			return started;
		}
		CompletableFuture<ResultCode> end = daemon.ended();
		Thread waiter = new Thread(() -> waitFor(signal, end), "stop-signal");
		waiter.setDaemon(true);
		waiter.start();
		ResultCode code = end.get();
		daemon.stop();
		return code;
	}

	private static void waitFor(StopSignal signal, CompletableFuture<ResultCode> end) {
		try {
			signal.await();
			end.complete(ResultCode.OK);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
