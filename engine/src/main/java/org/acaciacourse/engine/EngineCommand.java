package org.acaciacourse.engine;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CountDownLatch;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.daemon.cli.Command;

/**
 * The subcommand that runs a stand-in until SIGTERM.
 * <p>
 * Not thread safe.
 */
@Parameters(commandDescription = "Run a stand-in for a model engine or a plain service")
public final class EngineCommand implements Command {

	@Parameter(names = "--host", description = "IP number to listen on")
	private String host = "127.0.0.1";

	@Parameter(names = "--port", description = "Port, 0 for any free one")
	private int port = 9001;

	@Parameter(names = "--models", description = "Models that it serves")
	private List<String> models = List.of("sample-llm-7b");

	@Parameter(names = "--token-ms", description = "Time of a step with one request in the batch")
	private double tokenMillis = 20;

	@Parameter(names = "--prefill-ms", description = "Time before the first token")
	private double prefillMillis = 50;

	@Parameter(names = "--slots", description = "Requests in the batch")
	private int slots = 8;

	@Parameter(names = "--max-queue", description = "Requests that wait before more are refused")
	private int maxQueue = 256;

	@Parameter(names = "--cache-bytes", description = "Memory limit of the prefix cache")
	private long cacheBytes = 1 << 20;

	@Parameter(names = "--load-lag-ms", description = "Lag of the load report")
	private int loadLagMillis = 500;

	@Parameter(names = "--event-lag-ms", description = "Lag of the cache events")
	private int eventLagMillis = 1_000;

	@Parameter(names = "--detached-ms", description = "How long a request runs on without its connection")
	private int detachedMillis = 10_000;

	@Parameter(names = "--checks-fencing", description = "Refuse orders with an old fencing number")
	private boolean checksFencing;

	@Parameter(names = "--service", description = "Answer as a plain service")
	private boolean service;

	@Parameter(names = "--service-ms", description = "Time of a call of the plain service")
	private int serviceMillis = 5;

	@Parameter(names = "--crash-marker", description = "Text whose run halts the process")
	private String crashMarker = "";

	@Parameter(names = "--run-log", description = "File that gets a JSON line for each run")
	private Path runLog;

	@Parameter(names = { "--help", "-h" }, help = true, description = "Show this help")
	private boolean help;

	@Override
	public String name() {
		return "engine";
	}

	@Override
	public ResultCode run() throws InterruptedException {
		EngineOptions.Pace pace = new EngineOptions.Pace(this.tokenMillis, this.prefillMillis, this.slots,
				this.maxQueue, this.cacheBytes, this.loadLagMillis, this.eventLagMillis, this.detachedMillis);
		Engine engine = Engine
			.start(new EngineOptions(this.host, this.port, Set.copyOf(this.models), pace, this.checksFencing,
					this.service, this.serviceMillis, this.crashMarker, Optional.ofNullable(this.runLog)));
		Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(engine), "engine-stop"));
		System.out.println("ready " + engine.address());
		new CountDownLatch(1).await();
		return ResultCode.OK;
	}

	private static void stop(Engine engine) {
		engine.close();
		Runtime.getRuntime().halt(ResultCode.OK.exitStatus());
	}

}
