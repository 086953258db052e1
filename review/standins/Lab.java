import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback: the system's own programs as processes with the
 * commands of the deploy file, and stand-ins of the platform, of runners and of clients.
 * Each machine has a loopback address of its own.
 */
final class Lab implements AutoCloseable {

	final List<Machine> controls = new ArrayList<>();

	final List<Machine> fronts = new ArrayList<>();

	final List<Runner> runners = new CopyOnWriteArrayList<>();

	final Path folder;

	private final long startedAt = System.nanoTime();

	private final PrintWriter record;

	private final int operatorPort = freePort();

	private final int frontPort = freePort();

	private final int readyPort = freePort();

	private final int innerPort = 20_000 + (int) (Math.random() * 9_000);

	private final int net = 10 + (int) (Math.random() * 200);

	private final ServerSocket list;

	private final String listAddress;

	private final Map<String, String> extra;

	Lab(Path recordFile, int fronts, int controls, Map<String, String> extra) throws Exception {
		this.record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
		this.folder = Files.createTempDirectory("review");
		this.extra = extra;
		this.list = listen(ip("9"), 0);
		this.listAddress = ip("9") + ":" + this.list.getLocalPort();
		thread(this::serveList);
		for (int i = 0; i < controls; i++) {
			this.controls.add(new Machine("core-" + (i + 1), "control", ip("2" + i)));
		}
		for (int i = 0; i < fronts; i++) {
			this.fronts.add(new Machine("front-" + (i + 1), "entry", ip("3" + i)));
		}
		Runtime.getRuntime().addShutdownHook(new Thread(this::end));
	}

	private String ip(String last) {
		return "127.7." + this.net + "." + last;
	}

	static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0)) {
			return socket.getLocalPort();
		}
	}

	static ServerSocket listen(String ip, int port) throws IOException {
		ServerSocket socket = new ServerSocket();
		socket.setReuseAddress(true);
		socket.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 500);
		return socket;
	}

	synchronized void note(String text) {
		this.record.printf(Locale.ROOT, "%8.3f %s%n", (System.nanoTime() - this.startedAt) / 1e9, text);
	}

	void startAll() throws Exception {
		for (Machine machine : this.controls) {
			machine.start(true);
		}
		for (Machine machine : this.fronts) {
			machine.start(true);
		}
	}

	/** Hands a configuration in until it is acknowledged. */
	void configure(String json, long seconds) throws Exception {
		long end = System.nanoTime() + seconds * 1_000_000_000L;
		for (int i = 0; System.nanoTime() < end; i++) {
			Machine machine = this.controls.get(i % this.controls.size());
			try {
				Answer answer = put(machine, json);
				if (answer.status == 200) {
					note("configuration acknowledged by " + machine.name);
					return;
				}
			}
			catch (IOException ex) {
				// Asked again below.
			}
			Thread.sleep(200);
		}
		throw new CannotRun("no configuration was acknowledged");
	}

	Answer put(Machine machine, String json) throws IOException {
		return put(machine, json, 5_000);
	}

	Answer put(Machine machine, String json, int millis) throws IOException {
		byte[] body = json.getBytes(StandardCharsets.UTF_8);
		return call(machine.ip, this.operatorPort, "POST /-/config/put HTTP/1.1\r\nHost: " + machine.ip
				+ "\r\nContent-Type: application/json\r\nContent-Length: " + body.length + "\r\n\r\n", body, millis);
	}

	Answer get(Machine machine) throws IOException {
		return call(machine.ip, this.operatorPort, "GET /-/config/get HTTP/1.1\r\nHost: " + machine.ip + "\r\n\r\n",
				new byte[0], 5_000);
	}

	void awaitReady(long seconds) throws Exception {
		long end = System.nanoTime() + seconds * 1_000_000_000L;
		for (Machine machine : this.fronts) {
			while (!isReady(machine)) {
				if (System.nanoTime() > end) {
					throw new CannotRun(machine.name + " is not ready");
				}
				Thread.sleep(100);
			}
			note(machine.name + " is ready");
		}
	}

	boolean isReady(Machine machine) {
		try {
			return call(machine.ip, this.readyPort, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n", new byte[0],
					1_000).status == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

	Socket toFront(Machine machine) throws IOException {
		return connect(machine.ip, this.frontPort, 1_000);
	}

	static Socket connect(String ip, int port, int millis) throws IOException {
		Socket socket = new Socket();
		socket.setTcpNoDelay(true);
		socket.connect(new InetSocketAddress(ip, port), millis);
		return socket;
	}

	static Answer call(String ip, int port, String head, byte[] body, int millis) throws IOException {
		try (Socket socket = connect(ip, port, 1_000)) {
			socket.setSoTimeout(millis);
			write(socket, head, body);
			return Answer.read(new BufferedInputStream(socket.getInputStream()));
		}
	}

	static void write(Socket socket, String head, byte[] body) throws IOException {
		byte[] first = head.getBytes(StandardCharsets.ISO_8859_1);
		byte[] all = Arrays.copyOf(first, first.length + body.length);
		System.arraycopy(body, 0, all, first.length, body.length);
		socket.getOutputStream().write(all);
		socket.getOutputStream().flush();
	}

	Runner runner(String service, int slots, Behaviour behaviour) throws IOException {
		Runner runner = new Runner("i-" + service + "-" + this.runners.size(), service, slots,
				listen(ip("5" + this.runners.size()), 0), behaviour);
		this.runners.add(runner);
		thread(runner::accept);
		return runner;
	}

	private void serveList() throws IOException {
		while (true) {
			Socket socket = this.list.accept();
			thread(() -> {
				InputStream in = new BufferedInputStream(socket.getInputStream());
				while (true) {
					Request request = Request.read(in);
					if (request == null) {
						socket.close();
						return;
					}
					byte[] body = listing().getBytes(StandardCharsets.UTF_8);
					write(socket, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length
							+ "\r\n\r\n", body);
				}
			});
		}
	}

	private String listing() {
		StringBuilder text = new StringBuilder("{\"instances\":[");
		String comma = "";
		for (Runner runner : this.runners) {
			if (runner.listed) {
				text.append(comma)
					.append("{\"id\":\"" + runner.id + "\",\"service\":\"" + runner.service + "\",\"address\":\""
							+ runner.address() + "\",\"zone\":\"z-a\",\"version\":\"v1\",\"slots\":" + runner.slots
							+ ",\"state\":\"" + runner.state + "\",\"cold_remaining_ms\":0}");
				comma = ",";
			}
		}
		return text.append("],\"next\":null}").toString();
	}

	interface Task {

		void run() throws Exception;

	}

	static Thread thread(Task task) {
		Thread thread = new Thread(null, () -> {
			try {
				task.run();
			}
			catch (Exception ex) {
				// The other side closed its connection, or the case has ended.
			}
		}, "lab", 256 * 1024);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	private synchronized void killAll() {
		this.controls.forEach(Machine::kill);
		this.fronts.forEach(Machine::kill);
	}

	private void end() {
		killAll();
		this.record.flush();
		if (Files.exists(this.folder)) {
			try (var files = Files.walk(this.folder)) {
				files.sorted(Comparator.reverseOrder()).forEach((file) -> file.toFile().delete());
			}
			catch (IOException ex) {
				// A process that was killed still held a file.
			}
		}
	}

	@Override
	public void close() {
		end();
	}

	/** The case could not be run. */
	static final class CannotRun extends RuntimeException {

		private static final long serialVersionUID = 1L;

		CannotRun(String text) {
			super(text);
		}

	}

	/** A machine with one process of the system. */
	final class Machine {

		final String name;

		final String role;

		final String ip;

		Process process;

		private Machine(String name, String role, String ip) {
			this.name = name;
			this.role = role;
			this.ip = ip;
		}

		Path data() {
			return Lab.this.folder.resolve("data-" + this.name);
		}

		Path log() {
			return Lab.this.folder.resolve(this.name + ".log");
		}

		void start(boolean first) throws Exception {
			Path settings = Lab.this.folder.resolve(this.name + ".ini");
			Files.writeString(settings, settings(first));
			if (this.role.equals("control")) {
				Files.createDirectories(data());
			}
			List<String> words = new ArrayList<>();
			for (String word : run(this.role).split(" ")) {
				words.add(word.startsWith("-Dacaciacourse.settings=") ? "-Dacaciacourse.settings=" + settings : word);
			}
			this.process = new ProcessBuilder(words).redirectErrorStream(true)
				.redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()))
				.start();
			note(this.name + " starts, process " + this.process.pid());
		}

		private String settings(boolean first) throws IOException {
			Map<String, String> values = new TreeMap<>(Lab.this.extra);
			values.put("node_name", this.name);
			values.put("zone", "z-a");
			values.put("ip", this.ip);
			values.put("internal_ports.0", Integer.toString(Lab.this.innerPort));
			List<String> seeds = new ArrayList<>();
			Lab.this.controls.stream().limit(3).forEach((one) -> seeds.add(one.ip + ":" + Lab.this.operatorPort));
			values.put("seeds", String.join(",", seeds));
			values.put("listen.control", this.ip + ":" + Lab.this.operatorPort);
			values.put("listen.front", this.ip + ":" + Lab.this.frontPort);
			values.put("listen.ready_address", this.ip + ":" + Lab.this.readyPort);
			values.put("cloud.address", Lab.this.listAddress);
			values.put("data_dir", data().toString());
			values.put("bootstrap", Boolean.toString(first));
			values.put("bounds.grace_s", "8");
			values.put("bounds.budget_window_s", "10");
			values.put("bounds.retry_budget_ratio", "0.2");
			values.put("bounds.budget_min_retries", "52");
			values.put("limits.memory_mb", "430");
			values.putIfAbsent("contracts", "base,drain,config,cost,retry,recover,engine,stream,tenants");
			return render(Files.readString(Path.of("deploy/" + this.role + ".ini")), values);
		}

		private String render(String template, Map<String, String> values) {
			String text = replace(template, Pattern.compile("\\{\\{#([^}]+)\\}\\}(.*?)\\{\\{/\\1\\}\\}", Pattern.DOTALL),
					(match) -> values.containsKey(match.group(1)) ? match.group(2) : "");
			return replace(text, Pattern.compile("\\{\\{([^}]+)\\}\\}"),
					(match) -> values.getOrDefault(match.group(1), ""));
		}

		private String replace(String text, Pattern pattern, java.util.function.Function<Matcher, String> by) {
			Matcher matcher = pattern.matcher(text);
			StringBuilder result = new StringBuilder();
			while (matcher.find()) {
				matcher.appendReplacement(result, Matcher.quoteReplacement(by.apply(matcher)));
			}
			return matcher.appendTail(result).toString();
		}

		void signal(String name) throws Exception {
			note("signal " + name + " to " + this.name);
			new ProcessBuilder("sh", "-c", "kill -" + name + " " + this.process.pid()).inheritIO().start().waitFor();
		}

		void kill() {
			if (this.process != null && this.process.isAlive()) {
				this.process.destroyForcibly();
			}
		}

	}

	/** The command of a role in the deploy file. */
	private static String run(String role) throws IOException {
		boolean here = false;
		for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
			if (line.startsWith("[")) {
				here = line.equals("[roles." + role + "]");
			}
			if (here && line.startsWith("run = ")) {
				return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
			}
		}
		throw new CannotRun("no command for " + role);
	}

	/** What a runner does with a request. */
	interface Behaviour {

		void answer(Runner runner, Request request, Connection connection) throws Exception;

	}

	/** One connection to a runner; a behaviour may keep something on it. */
	static final class Connection {

		final Socket socket;

		final int number;

		byte[] late;

		Connection(Socket socket, int number) {
			this.socket = socket;
			this.number = number;
		}

		void send(byte[] bytes) throws IOException {
			this.socket.getOutputStream().write(bytes);
			this.socket.getOutputStream().flush();
		}

	}

	/** A runner over plain sockets. */
	final class Runner {

		final String id;

		final String service;

		final int slots;

		volatile String state = "ready";

		volatile boolean listed = true;

		private final ServerSocket server;

		private final Behaviour behaviour;

		private int connections;

		private Runner(String id, String service, int slots, ServerSocket server, Behaviour behaviour) {
			this.id = id;
			this.service = service;
			this.slots = slots;
			this.server = server;
			this.behaviour = behaviour;
		}

		String address() {
			return this.server.getInetAddress().getHostAddress() + ":" + this.server.getLocalPort();
		}

		private void accept() throws IOException {
			while (true) {
				Socket socket = this.server.accept();
				socket.setTcpNoDelay(true);
				Connection connection = new Connection(socket, ++this.connections);
				thread(() -> {
					InputStream in = new BufferedInputStream(socket.getInputStream());
					for (Request next = Request.read(in); next != null; next = Request.read(in)) {
						this.behaviour.answer(this, next, connection);
					}
					socket.close();
				});
			}
		}

		/** An answer that a sound runner gives. */
		byte[] answer(Request request, int status, String more, String body) {
			byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
			String head = "HTTP/1.1 " + status + " X\r\nRequest-Id: " + request.id() + "\r\nResponse-Seal: s-" + this.id
					+ "-" + request.id() + "\r\n" + more + "Content-Type: application/json\r\nContent-Length: "
					+ bytes.length + "\r\n\r\n";
			byte[] first = head.getBytes(StandardCharsets.ISO_8859_1);
			byte[] all = Arrays.copyOf(first, first.length + bytes.length);
			System.arraycopy(bytes, 0, all, first.length, bytes.length);
			return all;
		}

	}

	/** A request as it was read. */
	static final class Request {

		String line = "";

		final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);

		byte[] body = new byte[0];

		String id() {
			return this.headers.getOrDefault("request-id", "");
		}

		static Request read(InputStream in) throws IOException {
			Request request = new Request();
			String line = readLine(in);
			if (line == null) {
				return null;
			}
			request.line = line;
			readHeaders(in, request.headers);
			int length = Integer.parseInt(request.headers.getOrDefault("content-length", "0"));
			request.body = in.readNBytes(length);
			return request;
		}

	}

	private static String readLine(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		for (int next = in.read(); next >= 0; next = in.read()) {
			if (next == '\n') {
				String text = line.toString(StandardCharsets.ISO_8859_1);
				return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
			}
			line.write(next);
		}
		return null;
	}

	private static void readHeaders(InputStream in, Map<String, String> headers) throws IOException {
		for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
			int colon = line.indexOf(':');
			headers.put(line.substring(0, colon).strip(), line.substring(colon + 1).strip());
		}
	}

	/** An answer as a client reads it. */
	static final class Answer {

		int status;

		boolean complete;

		final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);

		byte[] body = new byte[0];

		static Answer read(InputStream in) throws IOException {
			Answer answer = new Answer();
			String line = readLine(in);
			if (line == null) {
				throw new IOException("closed without an answer");
			}
			answer.status = Integer.parseInt(line.split(" ")[1]);
			readHeaders(in, answer.headers);
			if (answer.headers.getOrDefault("transfer-encoding", "").contains("chunked")) {
				answer.body = chunks(in, answer);
			}
			else {
				int length = Integer.parseInt(answer.headers.getOrDefault("content-length", "0"));
				answer.body = in.readNBytes(length);
				answer.complete = answer.body.length == length;
			}
			return answer;
		}

		private static byte[] chunks(InputStream in, Answer answer) throws IOException {
			ByteArrayOutputStream all = new ByteArrayOutputStream();
			while (true) {
				String line = readLine(in);
				if (line == null) {
					return all.toByteArray();
				}
				int length = Integer.parseInt(line.strip(), 16);
				if (length == 0) {
					readLine(in);
					answer.complete = true;
					return all.toByteArray();
				}
				byte[] chunk = in.readNBytes(length);
				all.write(chunk);
				if (chunk.length < length) {
					return all.toByteArray();
				}
				readLine(in);
			}
		}

	}

}
