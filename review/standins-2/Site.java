import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback: the project's own programs as processes of their own, started with the commands and the
 * templates of the deploy file. Each machine has an address of its own, as on the platform.
 */
final class Site implements AutoCloseable {

	/** The zones of the sheet of Nkwanta's fleet. */
	static final List<String> ZONES = List.of("accra-a", "tema-b", "kasoa-c");

	static final Random RANDOM = new Random();

	final String net;

	final int frontPort;

	final int readyPort;

	final int controlPort;

	final int innerPort;

	final int listPort;

	final Path root = Path.of("").toAbsolutePath();

	final Path folder;

	final Record record;

	final List<Machine> machines = new ArrayList<>();

	final String deploy;

	Site(Record record, int fronts, int cores) throws IOException {
		this.record = record;
		this.folder = Files.createTempDirectory("review");
		this.net = "127." + (20 + RANDOM.nextInt(200)) + "." + (1 + RANDOM.nextInt(250)) + ".";
		int base = freeBase();
		this.frontPort = base;
		this.readyPort = base + 1;
		this.controlPort = base + 2;
		this.listPort = base + 3;
		this.innerPort = base + 10;
		this.deploy = Files.readString(this.root.resolve("deploy/system.toml"));
		for (int i = 0; i < cores; i++) {
			this.machines.add(new Machine("core", i, this.net + (10 + i)));
		}
		for (int i = 0; i < fronts; i++) {
			this.machines.add(new Machine("front", i, this.net + (20 + i)));
		}
	}

	// Ports below those that the system gives to connections, free on all addresses.
	private static int freeBase() {
		for (int tries = 0; tries < 200; tries++) {
			int base = 12_000 + 32 * RANDOM.nextInt(500);
			boolean free = true;
			for (int port = base; free && port < base + 32; port++) {
				try (ServerSocket probe = new ServerSocket(port)) {
					free = probe.isBound();
				}
				catch (IOException ex) {
					free = false;
				}
			}
			if (free) {
				return base;
			}
		}
		throw new IllegalStateException("no free ports");
	}

	List<Machine> fronts() {
		return this.machines.stream().filter((machine) -> machine.type.equals("front")).toList();
	}

	List<Machine> cores() {
		return this.machines.stream().filter((machine) -> machine.type.equals("core")).toList();
	}

	/** Start all machines and wait until each entry says that it is ready. */
	void start() throws Exception {
		Runtime.getRuntime().addShutdownHook(new Thread(() -> this.machines.forEach(Machine::kill)));
		for (Machine machine : this.machines) {
			machine.start(true);
		}
	}

	void awaitReady(long millis) throws Exception {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
		for (Machine front : fronts()) {
			while (!front.ready()) {
				if (System.nanoTime() > end) {
					throw new CannotRun(front.name + " did not get ready");
				}
				Thread.sleep(50);
			}
		}
	}

	/** Send a configuration to a core machine until one acknowledges it. */
	void put(String json, long millis) throws Exception {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
		for (int i = 0; System.nanoTime() < end; i++) {
			Machine core = cores().get(i % cores().size());
			try {
				HttpURLConnection call = (HttpURLConnection) URI
					.create("http://" + core.ip + ":" + this.controlPort + "/-/config/put")
					.toURL()
					.openConnection();
				call.setConnectTimeout(1_000);
				call.setReadTimeout(3_000);
				call.setRequestMethod("POST");
				call.setRequestProperty("Content-Type", "application/json");
				call.setDoOutput(true);
				call.getOutputStream().write(json.getBytes(StandardCharsets.UTF_8));
				int status = call.getResponseCode();
				call.disconnect();
				if (status == 200) {
					this.record.line("configuration acknowledged by " + core.name);
					return;
				}
				if (status < 500) {
					throw new CannotRun("configuration refused with " + status);
				}
			}
			catch (IOException ex) {
				// The next machine is asked.
			}
			Thread.sleep(100);
		}
		throw new CannotRun("no configuration was acknowledged");
	}

	private String commandOf(String role) {
		Matcher matcher = Pattern.compile("\\[roles\\." + role + "\\][^\\[]*?run = \"([^\"]*)\"", Pattern.DOTALL)
			.matcher(this.deploy);
		if (!matcher.find()) {
			throw new CannotRun("no role " + role);
		}
		return matcher.group(1);
	}

	static String toml(Path file, String key) throws IOException {
		Matcher matcher = Pattern.compile(key + " = \"([^\"]*)\"").matcher(Files.readString(file));
		matcher.find();
		return matcher.group(1);
	}

	static String render(String template, Map<String, String> values) {
		Matcher section = Pattern.compile("\\{\\{#([a-z_.]+)\\}\\}(.*?)\\{\\{/\\1\\}\\}", Pattern.DOTALL)
			.matcher(template);
		String text = section.replaceAll((found) -> Matcher
			.quoteReplacement(values.getOrDefault(found.group(1), "").isEmpty() ? "" : found.group(2)));
		Matcher value = Pattern.compile("\\{\\{([a-z_.0-9]+)\\}\\}").matcher(text);
		return value.replaceAll((found) -> Matcher.quoteReplacement(values.getOrDefault(found.group(1), "")));
	}

	@Override
	public void close() {
		for (Machine machine : this.machines) {
			machine.kill();
		}
		for (Machine machine : this.machines) {
			machine.awaitEnd();
		}
		try (var files = Files.walk(this.folder)) {
			files.sorted(java.util.Comparator.reverseOrder()).forEach((file) -> file.toFile().delete());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/** A case that could not be run. */
	static final class CannotRun extends RuntimeException {

		private static final long serialVersionUID = 1L;

		CannotRun(String message) {
			super(message);
		}

	}

	/** A machine with the process of its role. */
	final class Machine {

		final String type;

		final String name;

		final String zone;

		final String ip;

		final Path log;

		volatile Process process;

		private final Path settings;

		private Machine(String type, int index, String ip) {
			this.type = type;
			this.zone = ZONES.get(index % ZONES.size());
			this.name = type + "-" + this.zone + "-" + (1 + index / ZONES.size());
			this.ip = ip;
			this.log = Site.this.folder.resolve(this.name + ".log");
			this.settings = Site.this.folder.resolve(this.name + ".settings");
		}

		InetSocketAddress front() {
			return new InetSocketAddress(this.ip, Site.this.frontPort);
		}

		void start(boolean first) throws IOException {
			boolean core = this.type.equals("core");
			Path template = Site.this.root.resolve((core) ? "deploy/control.ini" : "deploy/entry.ini");
			Files.writeString(this.settings, render(Files.readString(template), values(first)));
			List<String> command = new ArrayList<>(
					Arrays.asList(commandOf((core) ? "control" : "entry").split(" +")));
			command.replaceAll((word) -> word.replace("/etc/acaciacourse/settings.toml", this.settings.toString()));
			ProcessBuilder builder = new ProcessBuilder(command).directory(Site.this.root.toFile())
				.redirectErrorStream(true)
				.redirectOutput(ProcessBuilder.Redirect.appendTo(this.log.toFile()));
			this.process = builder.start();
		}

		private Map<String, String> values(boolean first) {
			Map<String, String> values = new LinkedHashMap<>();
			values.put("node_name", this.name);
			values.put("zone", this.zone);
			values.put("ip", this.ip);
			values.put("internal_ports.0", Integer.toString(Site.this.innerPort));
			values.put("seeds", String.join(",", cores().stream().limit(3).map((core) -> core.ip + ":"
					+ Site.this.controlPort).toList()));
			values.put("listen.front", this.ip + ":" + Site.this.frontPort);
			values.put("listen.ready_address", this.ip + ":" + Site.this.readyPort);
			values.put("listen.control", this.ip + ":" + Site.this.controlPort);
			values.put("cloud.address", Site.this.net + "5:" + Site.this.listPort);
			values.put("bounds.budget_window_s", "10");
			values.put("bounds.retry_budget_ratio", "0.2");
			values.put("bounds.budget_min_retries", "52");
			values.put("bounds.grace_s", "8");
			values.put("contracts", "base,drain,config,cost,retry,recover,engine,stream,tenants");
			values.put("limits.memory_mb", (this.type.equals("front")) ? "430" : "426");
			values.put("limits.max_fds", (this.type.equals("front")) ? "4100" : "4096");
			values.put("data_dir", Site.this.folder.resolve(this.name + "-data").toString());
			values.put("bootstrap", Boolean.toString(first));
			return values;
		}

		boolean alive() {
			return this.process != null && this.process.isAlive();
		}

		boolean ready() {
			try {
				HttpURLConnection call = (HttpURLConnection) URI
					.create("http://" + this.ip + ":" + Site.this.readyPort + "/-/ready")
					.toURL()
					.openConnection();
				call.setConnectTimeout(500);
				call.setReadTimeout(500);
				int status = call.getResponseCode();
				call.disconnect();
				return status == 200;
			}
			catch (IOException ex) {
				return false;
			}
		}

		void signal(String signal) throws Exception {
			new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + this.process.pid()).start().waitFor();
		}

		void kill() {
			if (this.process != null) {
				this.process.destroyForcibly();
			}
		}

		void awaitEnd() {
			try {
				if (this.process != null) {
					this.process.waitFor(5, TimeUnit.SECONDS);
				}
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}

		List<String> logLines() throws IOException {
			return Files.exists(this.log) ? Files.readAllLines(this.log) : List.of();
		}

	}

	static InetAddress address(String ip) throws IOException {
		return InetAddress.getByName(ip);
	}

}
