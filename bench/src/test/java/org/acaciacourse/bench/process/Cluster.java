package org.acaciacourse.bench.process;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.acaciacourse.bench.check.DeliveryChecker;
import org.acaciacourse.bench.check.DeliveryReport;
import org.acaciacourse.bench.check.Ran;
import org.acaciacourse.bench.check.Told;
import org.acaciacourse.testkit.FreePorts;
import org.acaciacourse.testkit.JavaProcess;
import org.acaciacourse.testkit.TcpProxy;
import org.acaciacourse.testkit.Waiting;

/**
 * Controls, entries, engines and a plain service as separate processes on loopback.
 * <p>
 * Not thread safe.
 */
final class Cluster implements AutoCloseable {

	static final String MODEL = "sample-llm-7b";

	static final String KEY = "sample";

	private static final String KEY_DIGEST = "af2bdbe1aa9b6ec1e2ade1d694f41fc71a831d0268e9891562113d8a62add1bf";

	private static final String INNER_KEY = "inner-key-of-the-tests";

	private static final String OPERATOR_KEY = "operator-key-of-the-tests";

	private final HttpClient client = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(Duration.ofSeconds(5))
		.build();

	private final Path folder;

	private final int[] controlPorts;

	private final int[] controlAdmins;

	private final int[] entryPorts;

	private final int[] entryAdmins;

	private final int[] enginePorts;

	private final int servicePort = FreePorts.next();

	private final int[] engineAddresses;

	private final JavaProcess[] controls;

	private final JavaProcess[] entries;

	private final JavaProcess[] engines;

	private JavaProcess service;

	private String firstTokenTarget = "5 s";

	private String[] engineArgs = { "--token-ms", "5", "--prefill-ms", "5", "--slots", "32" };

	Cluster(Path folder, int controls, int entries, int engines) {
		this.folder = folder;
		this.controlPorts = ports(controls);
		this.controlAdmins = ports(controls);
		this.entryPorts = ports(entries);
		this.entryAdmins = ports(entries);
		this.enginePorts = ports(engines);
		this.engineAddresses = this.enginePorts.clone();
		this.controls = new JavaProcess[controls];
		this.entries = new JavaProcess[entries];
		this.engines = new JavaProcess[engines];
	}

	private static int[] ports(int count) {
		return IntStream.range(0, count).map((i) -> FreePorts.next()).toArray();
	}

	/**
	 * Let entries reach an engine through a proxy.
	 * @param engine the index of the engine
	 * @param proxy the proxy
	 */
	void reachThrough(int engine, TcpProxy proxy) {
		this.engineAddresses[engine] = proxy.port();
	}

	void engineArgs(String... args) {
		this.engineArgs = args;
	}

	/**
	 * Set the target of the urgent class. A test that is not about targets sets one that
	 * stand-ins on a busy machine reach: else requests are refused for want of capacity.
	 * @param target until the first token
	 */
	void firstTokenTarget(String target) {
		this.firstTokenTarget = target;
	}

	/** Start all processes, apply the first manifest and wait until it serves. */
	void start() {
		IntStream.range(0, this.engines.length).forEach(this::startEngine);
		this.service = JavaProcess.start(this.folder, "service", "engine", "--service", "--port",
				Integer.toString(this.servicePort), "--run-log", runLog("service").toString());
		IntStream.range(0, this.controls.length).forEach(this::startControl);
		IntStream.range(0, this.entries.length).forEach(this::startEntry);
		awaitControls();
		apply(manifest(1, "tiered"));
		awaitEntries();
	}

	void awaitControls() {
		IntStream.range(0, this.controls.length)
			.forEach((i) -> awaitReady("control " + i, this.controls[i], this.controlAdmins[i]));
	}

	void awaitEntries() {
		IntStream.range(0, this.entries.length).forEach(this::awaitEntry);
	}

	void awaitEntry(int index) {
		awaitReady("entry " + index, this.entries[index], this.entryAdmins[index]);
	}

	private void awaitReady(String name, JavaProcess process, int adminPort) {
		Waiting.until(name + " ready", () -> {
			if (!process.isAlive()) {
				throw new AssertionError(name + " ended: " + process.output());
			}
			return isReady(adminPort);
		});
	}

	void startEngine(int index) {
		String name = "engine-" + index;
		String[] fixed = { "engine", "--port", Integer.toString(this.enginePorts[index]), "--run-log",
				runLog(name).toString() };
		String[] args = Stream.concat(Arrays.stream(fixed), Arrays.stream(this.engineArgs)).toArray(String[]::new);
		this.engines[index] = JavaProcess.start(this.folder, name, args);
	}

	void startControl(int index) {
		String text = vm("control-" + index) + """
				[control]
				listen = 127.0.0.1:%d
				admin = 127.0.0.1:%d
				data = %s
				initial = %s
				operator-key = %s
				""".formatted(this.controlPorts[index], this.controlAdmins[index], data(index), controlAddresses(),
				OPERATOR_KEY);
		Path settings = write("control-" + index + ".ini", text);
		this.controls[index] = JavaProcess.start(this.folder, "control-" + index, "control", "--settings",
				settings.toString());
	}

	void startEntry(int index) {
		String text = vm("entry-" + index) + """
				[entry]
				listen = 127.0.0.1:%d
				admin = 127.0.0.1:%d
				controls = %s
				peers = %d
				stop-delay = 1 s
				""".formatted(this.entryPorts[index], this.entryAdmins[index], controlAddresses(), this.entries.length);
		Path settings = write("entry-" + index + ".ini", text);
		this.entries[index] = JavaProcess.start(this.folder, "entry-" + index, "entry", "--settings",
				settings.toString());
	}

	JavaProcess control(int index) {
		return this.controls[index];
	}

	JavaProcess entry(int index) {
		return this.entries[index];
	}

	JavaProcess engine(int index) {
		return this.engines[index];
	}

	Path data(int index) {
		return this.folder.resolve("data-" + index);
	}

	String entryAddress(int index) {
		return "http://127.0.0.1:" + this.entryPorts[index];
	}

	String engineAddress(int index) {
		return "http://127.0.0.1:" + this.enginePorts[index];
	}

	String controlAddresses() {
		return Arrays.stream(this.controlPorts)
			.mapToObj((port) -> "127.0.0.1:" + port)
			.collect(Collectors.joining(", "));
	}

	/**
	 * Apply a manifest like an operator.
	 * @param manifest its text
	 */
	void apply(String manifest) {
		JavaProcess apply = startApply("apply", manifest);
		int status = apply.awaitExit();
		if (status != 0) {
			throw new AssertionError("apply ended with " + status + ": " + apply.output());
		}
	}

	JavaProcess startApply(String name, String manifest) {
		Path file = write(name + ".manifest.ini", manifest);
		return JavaProcess.start(this.folder, name, "apply", file.toString(), "--control",
				controlAddresses().replace(" ", ""), "--key", OPERATOR_KEY);
	}

	String manifest(long number, String policy) {
		StringBuilder text = new StringBuilder("[manifest]\nnumber = %d\npolicy = %s\n".formatted(number, policy));
		text.append("""
				[policy tiered]
				kind = tiered
				[policy fifo]
				kind = fifo
				[class urgent]
				tier = high
				target = first-token %s
				deadline = 45 s
				endpoint-sets = llm
				[class overnight]
				tier = low
				target = whole-answer 8 h
				deadline = 12 h
				preemptible = true
				endpoint-sets = llm
				[endpoint-set llm]
				kind = model
				models = %s
				resume = true
				deterministic = true
				[endpoint-set desk]
				kind = service
				[endpoint desk-1]
				set = desk
				address = http://127.0.0.1:%d
				data-centre = zone-a
				slots = 64
				[service desk]
				endpoint-set = desk
				class = urgent
				not-repeated = POST /verdicts
				[customer sample]
				key-sha256 = %s
				classes = urgent, overnight
				max-in-flight = 1000
				requests-per-second = 1000
				""".formatted(this.firstTokenTarget, MODEL, this.servicePort, KEY_DIGEST));
		for (int i = 0; i < this.engineAddresses.length; i++) {
			text.append("""
					[endpoint llm-%d]
					set = llm
					address = http://127.0.0.1:%d
					data-centre = zone-a
					slots = 32
					""".formatted(i, this.engineAddresses[i]));
		}
		return text.toString();
	}

	/**
	 * Switch faults of an engine.
	 * @param index the engine
	 * @param json the faults
	 */
	void faults(int index, String json) {
		try {
			HttpRequest request = HttpRequest.newBuilder(URI.create(engineAddress(index) + "/faults"))
				.POST(HttpRequest.BodyPublishers.ofString(json))
				.build();
			this.client.send(request, HttpResponse.BodyHandlers.ofString());
		}
		catch (IOException | InterruptedException ex) {
			throw new AssertionError(ex);
		}
	}

	/**
	 * Compare what callers were told with what all endpoints ran.
	 * @param told what callers were told
	 * @return what was found
	 */
	DeliveryReport check(List<Told> told) {
		DeliveryChecker checker = new DeliveryChecker(Answers::expected);
		checker.told(told);
		checker.ran(ran());
		return checker.check();
	}

	/**
	 * Wait until endpoints have begun to run as many different requests as given.
	 * @param count the number of requests
	 */
	void awaitRuns(int count) {
		Waiting.until(count + " runs", () -> ran().stream().map(Ran::content).distinct().count() >= count);
	}

	/**
	 * Read what all endpoints ran.
	 * @return the runs
	 */
	List<Ran> ran() {
		List<Ran> runs = new ArrayList<>();
		try {
			for (int i = 0; i < this.engines.length; i++) {
				runs.addAll(Ran.read("engine-" + i, runLog("engine-" + i)));
			}
			runs.addAll(Ran.read("service", runLog("service")));
		}
		catch (IOException ex) {
			throw new AssertionError(ex);
		}
		return runs;
	}

	String get(int port, String path) throws IOException, InterruptedException {
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
			.timeout(Duration.ofSeconds(1))
			.build();
		HttpResponse<String> response = this.client.send(request, HttpResponse.BodyHandlers.ofString());
		return response.statusCode() + " " + response.body();
	}

	int enginePort(int index) {
		return this.enginePorts[index];
	}

	void restartDeadEngines() {
		IntStream.range(0, this.engines.length).filter((i) -> !this.engines[i].isAlive()).forEach(this::startEngine);
	}

	/**
	 * Wait until a control leads.
	 * @return its index
	 */
	int awaitLeader() {
		int[] leader = { -1 };
		Waiting.until("a leader", () -> {
			leader[0] = IntStream.range(0, this.controls.length).filter(this::leads).findFirst().orElse(-1);
			return leader[0] >= 0;
		});
		return leader[0];
	}

	/**
	 * Wait until an entry has a configuration in force.
	 * @param entry its index
	 * @param number the number of the manifest
	 */
	void awaitConfiguration(int entry, long number) {
		Waiting.until("entry " + entry + " has " + number,
				() -> get(this.entryAdmins[entry], "/metrics").contains("acaciacourse_configuration_number " + number));
	}

	private boolean leads(int control) {
		try {
			return this.controls[control].isAlive()
					&& get(this.controlAdmins[control], "/metrics").contains("acaciacourse_replica_leader 1");
		}
		catch (IOException | InterruptedException ex) {
			return false;
		}
	}

	int entryCount() {
		return this.entries.length;
	}

	boolean isEntryReady(int index) {
		try {
			return isReady(this.entryAdmins[index]);
		}
		catch (IOException | InterruptedException ex) {
			return false;
		}
	}

	private boolean isReady(int adminPort) throws IOException, InterruptedException {
		return get(adminPort, "/health/ready").startsWith("200");
	}

	private Path runLog(String name) {
		return this.folder.resolve(name + ".runs");
	}

	private static String vm(String name) {
		return "[vm]\nname = " + name + "\ndata-centre = zone-a\n[inner]\nkey = " + INNER_KEY + "\n";
	}

	private Path write(String name, String text) {
		try {
			return Files.writeString(this.folder.resolve(name), text);
		}
		catch (IOException ex) {
			throw new AssertionError(ex);
		}
	}

	@Override
	public void close() {
		Stream.of(this.entries, this.controls, this.engines)
			.flatMap(Arrays::stream)
			.filter((process) -> process != null)
			.forEach(JavaProcess::close);
		if (this.service != null) {
			this.service.close();
		}
	}

}
