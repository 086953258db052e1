package org.acaciacourse.daemon.entry;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vavr.control.Either;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.dispatch.PolicyDispatcher;
import org.acaciacourse.core.settings.Settings;
import org.acaciacourse.daemon.cli.Command;
import org.acaciacourse.daemon.cli.SettingsFile;
import org.acaciacourse.daemon.cli.StopSignal;
import org.acaciacourse.daemon.link.LinkOptions;
import org.acaciacourse.daemon.link.ThriftControlLink;

/**
 * Runs an entry VM until the process receives a stop signal.
 * <p>
 * Not thread safe.
 */
@Parameters(commandDescription = "Run an entry VM: forward callers' requests to endpoints")
public final class EntryCommand implements Command {

	@Parameter(names = "--settings", required = true, description = "Settings file")
	private String settings;

	@Override
	public String name() {
		return "entry";
	}

	@Override
	public ResultCode run() throws Exception {
		Either<ResultCode, Settings> read = SettingsFile.read(Path.of(this.settings), Set.of("vm", "inner", "entry"));
		return (read.isLeft()) ? read.getLeft() : serve(read.get());
	}

	private static ResultCode serve(Settings checked) throws InterruptedException {
		StopSignal signal = new StopSignal();
		long seed = ThreadLocalRandom.current().nextLong();
		EntryDaemon daemon = new EntryDaemon(checked, new ThriftControlLink(LinkOptions.of(checked)),
				(actions) -> new PolicyDispatcher(actions, seed));
		try {
			daemon.start();
		}
		catch (IOException ex) {
			System.err.println(ResultCode.ADDRESS_IN_USE.number() + " " + ex.getMessage());
			return ResultCode.ADDRESS_IN_USE;
		}
		signal.await();
		return daemon.stop(signal::isForced);
	}

}
