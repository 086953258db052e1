package org.acaciacourse.engine;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.dispatch.PolicyDispatcher;
import org.acaciacourse.core.manifest.ManifestDocument;
import org.acaciacourse.core.manifest.ManifestParser;
import org.acaciacourse.core.settings.Settings;
import org.acaciacourse.daemon.codec.ManifestCodec;
import org.acaciacourse.daemon.control.ControlDaemon;
import org.acaciacourse.daemon.control.ControlOptions;
import org.acaciacourse.daemon.entry.EntryDaemon;
import org.acaciacourse.daemon.link.LeaderClient;
import org.acaciacourse.daemon.link.LinkOptions;
import org.acaciacourse.daemon.link.ThriftControlLink;
import org.acaciacourse.protocol.generated.ApplyReply;
import org.acaciacourse.protocol.generated.ApplyRequest;
import org.acaciacourse.protocol.generated.TraceContext;

/**
 * The embedded default: three control replicas, two entries, three engines and a plain
 * service in one process on loopback. Each part is the one that a VM runs; only the
 * process is shared.
 * <p>
 * Not thread safe: started and stopped by one thread.
 */
final class LocalSystem {

	private static final String INNER_KEY = "inner-key-of-the-embedded-default";

	private static final String OPERATOR_KEY = "operator-key-of-the-embedded-default";

	private static final String SAMPLE = "/samples/sample.manifest.ini";

	private static final int FIRST_SAMPLE_ENGINE = 9001;

	private static final int SAMPLE_SERVICE = 9101;

	private static final Duration READY_LIMIT = Duration.ofSeconds(60);

	private static final int TOKEN_MILLIS = 20;

	private static final int PREFILL_MILLIS = 50;

	private static final int SLOTS = 8;

	private final List<Engine> engines = new ArrayList<>();

	private final List<ControlDaemon> controls = new ArrayList<>();

	private final List<EntryDaemon> entries = new ArrayList<>();

	private final LocalPorts ports;

	private final Path folder;

	/**
	 * Create a system that is not started.
	 * @param folder the data folder
	 * @throws IOException if the folder cannot be used
	 */
	LocalSystem(Path folder) throws IOException {
		this.folder = folder;
		this.ports = LocalPorts.of(folder);
	}

	/**
	 * Start all parts and wait until the first request would be served.
	 * @param port the port of the first entry
	 * @return {@link ResultCode#OK}, or why it could not start
	 * @throws Exception if a part cannot be started
	 */
	ResultCode start(int port) throws Exception {
		this.ports.engines().forEach((engine) -> startEngine(engine, false));
		startEngine(this.ports.service(), true);
		for (int i = 0; i < this.ports.controls().size(); i++) {
			ResultCode started = startControl(i);
			if (started != ResultCode.OK) {
				return started;
			}
		}
		ResultCode applied = apply();
		if (applied != ResultCode.OK) {
			return applied;
		}
		startEntry(0, port);
		startEntry(1, 0);
		return awaitEntries();
	}

	/**
	 * Apply the sample manifest. A newer one, which an operator applied before a restart,
	 * stays in force.
	 * @return the result
	 * @throws Exception if it cannot be sent
	 */
	private ResultCode apply() throws Exception {
		ManifestDocument document = ManifestParser.document(manifest()).get();
		ApplyRequest request = new ApplyRequest(OPERATOR_KEY, "local", ManifestCodec.encode(document),
				new TraceContext(""));
		try (LeaderClient caller = new LeaderClient(controlAddressList())) {
			int code = caller.call((control) -> control.apply(request), ApplyReply::getResult, READY_LIMIT)
				.map((reply) -> reply.getResult().getCode())
				.orElse(ResultCode.CONTROL_UNREACHABLE.number());
			ResultCode result = ResultCode.ofNumber(code).orElse(ResultCode.INTERNAL);
			return (result == ResultCode.MANIFEST_OUTDATED) ? ResultCode.OK : result;
		}
	}

	private ResultCode awaitEntries() throws InterruptedException {
		for (EntryDaemon entry : this.entries) {
			if (!entry.awaitReady(READY_LIMIT)) {
				return ResultCode.NOT_READY;
			}
		}
		return ResultCode.OK;
	}

	/**
	 * Return the address of the first entry.
	 * @return the address for callers
	 */
	String address() {
		return "http://127.0.0.1:" + this.entries.get(0).port();
	}

	/**
	 * Stop gracefully: entries finish what they have, then the engines, then control.
	 * @return {@link ResultCode#OK}, or why work was cut
	 * @throws InterruptedException if the thread is interrupted
	 */
	ResultCode stop() throws InterruptedException {
		ResultCode result = ResultCode.OK;
		for (EntryDaemon entry : this.entries) {
			ResultCode stopped = entry.stop();
			result = (stopped != ResultCode.OK) ? stopped : result;
		}
		this.engines.forEach(Engine::close);
		this.controls.forEach(ControlDaemon::stop);
		return result;
	}

	private void startEngine(int port, boolean service) {
		EngineOptions.Pace pace = EngineOptions.Pace.of(TOKEN_MILLIS, PREFILL_MILLIS, SLOTS);
		this.engines.add(Engine.start(new EngineOptions("127.0.0.1", port, Set.of("sample-llm-7b"), pace, true, service,
				0, "", Optional.empty())));
	}

	private ResultCode startControl(int index) {
		String text = vm("control-" + index) + """
				[control]
				listen = 127.0.0.1:%d
				admin = 127.0.0.1:0
				data = %s
				initial = %s
				operator-key = %s
				""".formatted(this.ports.controls().get(index), this.folder.resolve("control-" + index),
				controlAddresses(), OPERATOR_KEY);
		ControlDaemon control = new ControlDaemon(ControlOptions.of(settings(text, "control")));
		this.controls.add(control);
		return control.start();
	}

	private void startEntry(int index, int port) throws IOException {
		String text = vm("entry-" + index) + """
				[entry]
				listen = 127.0.0.1:%d
				admin = 127.0.0.1:0
				controls = %s
				peers = 2
				stop-delay = 100 ms
				""".formatted(port, controlAddresses());
		Settings settings = settings(text, "entry");
		EntryDaemon entry = new EntryDaemon(settings, new ThriftControlLink(LinkOptions.of(settings)),
				(actions) -> new PolicyDispatcher(actions, index));
		this.entries.add(entry);
		entry.start();
	}

	private List<String> controlAddressList() {
		return this.ports.controls().stream().map((port) -> "127.0.0.1:" + port).toList();
	}

	private String controlAddresses() {
		return String.join(", ", controlAddressList());
	}

	private static String vm(String name) {
		return "[vm]\nname = " + name + "\ndata-centre = zone-a\n[inner]\nkey = " + INNER_KEY + "\n";
	}

	private static Settings settings(String text, String section) {
		return Settings.parse(text, Set.of("vm", "inner", section)).get();
	}

	/**
	 * Return the sample manifest with the addresses of this system's engines.
	 * @return its text
	 * @throws IOException if it cannot be read
	 */
	String manifest() throws IOException {
		try (InputStream in = LocalSystem.class.getResourceAsStream(SAMPLE)) {
			String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
			for (int i = 0; i < this.ports.engines().size(); i++) {
				text = text.replace(":" + (FIRST_SAMPLE_ENGINE + i) + "\n", ":" + this.ports.engines().get(i) + "\n");
			}
			return text.replace(":" + SAMPLE_SERVICE + "\n", ":" + this.ports.service() + "\n");
		}
	}

}
