import java.io.BufferedInputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Runners are full now and then and reject requests as they are to. With the disruption,
 * one of the three also sends some of its answers, all of them rejections, a second time
 * and late: where the answer to the next request on that connection is expected, under
 * the id of the request that was rejected. The next request runs. That lasts for 5 s,
 * three times, and concerns at most 3 in 100 of its answers.
 */
final class LateRefusal {

	private static final int SLOTS = 6;

	private static final int QUEUE = 2;

	/** One rejection in so many comes again, as long as these are few of all answers. */
	private static final int EXTRA_EACH = 6;

	private static final double MOST_OF_ANSWERS = 0.03;

	private static final long FAULTY_NANOS = 5_000_000_000L;

	private static final long PERIOD_NANOS = 7_000_000_000L;

	private final boolean trouble;

	private final Lab lab;

	private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

	private final Map<String, Integer> answered = new ConcurrentHashMap<>();

	private final Set<String> extras = ConcurrentHashMap.newKeySet();

	/** Rejections of the runner that is faulty at times. */
	private final AtomicInteger rejected = new AtomicInteger();

	private final AtomicInteger allRejected = new AtomicInteger();

	private final Map<String, Semaphore> slots = new ConcurrentHashMap<>();

	private final AtomicInteger sent = new AtomicInteger();

	/** Answers of the runner that is faulty at times. */
	private final AtomicInteger answers = new AtomicInteger();

	private final AtomicInteger again = new AtomicInteger();

	private volatile long begun;

	private LateRefusal(boolean trouble, Lab lab) {
		this.trouble = trouble;
		this.lab = lab;
	}

	public static void main(String[] args) throws Exception {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int code = 2;
		try (Lab lab = new Lab(Path.of(args[0]), 1, 3, Map.of())) {
			try {
				code = new LateRefusal(trouble, lab).run();
			}
			catch (Exception ex) {
				lab.note("could not run: " + ex);
			}
			lab.note("result " + code);
		}
		System.exit(code);
	}

	private int run() throws Exception {
		Map<String, AtomicInteger> busy = new ConcurrentHashMap<>();
		for (int i = 0; i < 3; i++) {
			this.lab.runner("casedesk", SLOTS, (runner, request, connection) -> serve(runner, request, connection,
					busy.computeIfAbsent(runner.id, (id) -> new AtomicInteger())));
		}
		this.lab.startAll();
		this.lab.configure("{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"desk.example\","
				+ "\"path_prefix\":\"/receipt/\",\"kind\":\"unsafe\",\"timeout_ms\":800,\"target_latency_ms\":150,"
				+ "\"priority\":2,\"service\":\"casedesk\",\"max_attempts\":1,\"allow_anonymous\":true}],"
				+ "\"services\":[{\"name\":\"casedesk\",\"health_path\":\"/health\",\"max_connections\":96,"
				+ "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,"
				+ "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}", 30);
		this.lab.awaitReady(30);
		Thread.sleep(1_500);
		this.begun = System.nanoTime();
		long end = this.begun + 20_000_000_000L;
		Thread[] clients = new Thread[40];
		for (int i = 0; i < clients.length; i++) {
			clients[i] = Lab.thread(() -> client(end));
		}
		for (Thread client : clients) {
			client.join();
		}
		Thread.sleep(1_000);
		return judge();
	}

	private void client(long end) throws Exception {
		while (System.nanoTime() < end) {
			try (Socket socket = this.lab.toFront(this.lab.fronts.get(0))) {
				socket.setSoTimeout(3_000);
				BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
				for (int i = 0; i < 50 && System.nanoTime() < end; i++) {
					String id = String.format("%08x%04x", this.sent.incrementAndGet(), (int) (Math.random() * 65_536));
					Lab.write(socket, "POST /receipt/" + id + " HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id
							+ "\r\nRequest-Deadline: 1500\r\nContent-Length: 4\r\n\r\n", "body".getBytes());
					Lab.Answer answer = Lab.Answer.read(in);
					this.answered.put(id, answer.status);
					if (answer.status == 503) {
						Thread.sleep(300);
					}
					if (answer.headers.getOrDefault("connection", "").equals("close")) {
						break;
					}
				}
			}
		}
	}

	private void serve(Lab.Runner runner, Lab.Request request, Lab.Connection connection, AtomicInteger busy)
			throws Exception {
		if (connection.late != null) {
			byte[] late = connection.late;
			connection.late = null;
			this.extras.add(request.id());
			this.lab.note(runner.id + " connection " + connection.number + ": extra answer, late, where that to "
					+ request.id() + " is due: " + new String(late).replace("\r\n", " | "));
			connection.send(late);
		}
		if (isFaulty(runner)) {
			this.answers.incrementAndGet();
		}
		if (busy.incrementAndGet() > SLOTS + QUEUE) {
			busy.decrementAndGet();
			byte[] rejection = runner.answer(request, 503, "Not-Executed: 1\r\nServer-Load: 6,2,6\r\n", "{}");
			this.allRejected.incrementAndGet();
			if (isFaulty(runner)) {
				this.rejected.incrementAndGet();
				if (isRepeated()) {
					this.again.incrementAndGet();
					connection.late = rejection;
				}
			}
			connection.send(rejection);
			return;
		}
		Semaphore free = this.slots.computeIfAbsent(runner.id, (id) -> new Semaphore(SLOTS, true));
		try {
			free.acquire();
			int times = this.runs.computeIfAbsent(request.id(), (id) -> new AtomicInteger()).incrementAndGet();
			if (times > 1 || this.extras.contains(request.id())) {
				this.lab.note(runner.id + " runs " + request.id() + ", run " + times);
			}
			Thread.sleep(30 + (int) (Math.random() * 30));
		}
		finally {
			free.release();
			busy.decrementAndGet();
		}
		connection.send(runner.answer(request, 200, "Server-Load: " + Math.min(SLOTS, busy.get()) + ",0,6\r\n",
				"{\"done\":\"" + request.id() + "\"}"));
	}

	private boolean isFaulty(Lab.Runner runner) {
		return this.lab.runners.indexOf(runner) == 0;
	}

	private boolean isRepeated() {
		boolean within = this.trouble && (System.nanoTime() - this.begun) % PERIOD_NANOS < FAULTY_NANOS;
		return within && this.rejected.get() % EXTRA_EACH == 0
				&& this.again.get() + 1 <= MOST_OF_ANSWERS * this.answers.get();
	}

	private int judge() {
		int refused = 0;
		int twice = 0;
		for (Map.Entry<String, AtomicInteger> run : this.runs.entrySet()) {
			Integer status = this.answered.get(run.getKey());
			if (status != null && (status == 503 || status == 429 || status == 408 || status == 421)) {
				refused++;
				this.lab.note("REFUSED: " + run.getKey() + " was answered " + status + " and has run "
						+ run.getValue() + " time(s)");
			}
			if (run.getValue().get() > 1) {
				twice++;
				this.lab.note("TWICE: " + run.getKey() + " has run " + run.getValue() + " times, answered " + status);
			}
		}
		Map<Integer, Long> statuses = new java.util.TreeMap<>();
		this.answered.values().forEach((status) -> statuses.merge(status, 1L, Long::sum));
		this.lab.note("sent " + this.sent + ", answers by status " + statuses + ", run " + this.runs.size()
				+ ", rejections of runners " + this.allRejected + ", answers of the faulty runner " + this.answers + ", extra answers " + this.extras.size());
		if (statuses.getOrDefault(200, 0L) < 100 || (this.trouble && this.extras.isEmpty())) {
			this.lab.note("too little was served, or no extra answer was sent");
			return 2;
		}
		return (refused + twice > 0) ? 1 : 0;
	}

}
