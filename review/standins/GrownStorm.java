import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The configuration grows by 350 routes, 16 times. With the disruption, changes then come
 * in quick succession, eight under way at most, each sent to one machine after the other
 * until it is acknowledged; without it, one after the other. A process that ends by
 * itself is started again.
 */
final class GrownStorm {

	private static final int GROWTH = 350;

	private static final int GAP_MILLIS = 60;

	private static final int STORM_MILLIS = 1_500;

	private static final int STORMS = 12;

	private static final int GROWTHS = 16;

	/** Operators wait a second for an answer, longer for large bodies. */
	private static final int TRY_MILLIS = 2_500;

	/** No order is begun later than that after the start of the script. */
	private static final long LAST_ORDER_MILLIS = 60_000;

	/** Orders are waited for until then, longer than the bound after the last one. */
	private static final long LAST_WAIT_MILLIS = 85_000;

	/** ack_ms of the sheet, and 3 ms for each route. */
	private static final long ACK_MILLIS = 4_000;

	private final boolean trouble;

	private final Lab lab;

	private final Map<String, Integer> ends = new ConcurrentHashMap<>();

	private final AtomicInteger open = new AtomicInteger();

	private volatile boolean over;

	private volatile long acknowledged;

	private volatile long longestAck;

	private final Map<Long, Long> openSince = new ConcurrentHashMap<>();

	private final long begunAt = System.nanoTime();

	private long version = 7;

	private GrownStorm(boolean trouble, Lab lab) {
		this.trouble = trouble;
		this.lab = lab;
	}

	public static void main(String[] args) throws Exception {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int code = 2;
		try (Lab lab = new Lab(Path.of(args[0]), 1, 5, Map.of())) {
			GrownStorm storm = new GrownStorm(trouble, lab);
			try {
				code = storm.run();
			}
			catch (Exception ex) {
				lab.note("could not run: " + ex);
			}
			storm.over = true;
			lab.note("result " + code);
		}
		System.exit(code);
	}

	private static String configuration(long version, int routes) {
		StringBuilder text = new StringBuilder("{\"version\":" + version + ",\"routes\":[");
		for (int i = 0; i < routes; i++) {
			text.append((i > 0) ? "," : "")
				.append("{\"name\":\"r-" + i + "\",\"host\":\"desk.example\",\"path_prefix\":\"/p" + i
						+ "/\",\"kind\":\"stream\",\"timeout_ms\":" + ((i == 0) ? 6_000 + version : 6_000)
						+ ",\"target_latency_ms\":800,\"priority\":1,\"service\":\"casedesk\",\"max_attempts\":2,"
						+ "\"allow_anonymous\":false,\"session_affinity\":true,\"stream_resume\":true,"
						+ "\"target_gap_ms\":300}");
		}
		return text.append("],\"services\":[{\"name\":\"casedesk\",\"health_path\":\"/health\",\"max_connections\":96,"
				+ "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,"
				+ "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
				+ "\"tenants\":[{\"name\":\"hule\",\"api_keys\":[\"k1\"],\"priority\":1}]}")
			.toString();
	}

	private int run() throws Exception {
		this.lab.runner("casedesk", 6, (runner, request, connection) -> connection
			.send(runner.answer(request, 200, "", "{}")));
		this.lab.startAll();
		this.lab.controls.forEach((machine) -> Lab.thread(() -> supervise(machine)));
		for (int routes = 1; routes <= 1 + GROWTHS * GROWTH; routes += GROWTH) {
			this.lab.configure(configuration(this.version, routes), 20);
			this.acknowledged = this.version;
			this.version += 3;
			Thread.sleep(300);
		}
		int routes = 1 + GROWTHS * GROWTH;
		this.lab.note(routes + " routes, " + configuration(this.version, routes).length() + " bytes");
		this.lab.awaitReady(15);
		Semaphore eight = new Semaphore(this.trouble ? 8 : 1);
		for (int i = 0; i < STORMS; i++) {
			this.lab.note("storm " + (i + 1));
			for (long end = System.nanoTime() + STORM_MILLIS * 1_000_000L; System.nanoTime() < end
					&& elapsedMillis() < LAST_ORDER_MILLIS;) {
				if (!eight.tryAcquire(100, java.util.concurrent.TimeUnit.MILLISECONDS)) {
					if (elapsedMillis() > LAST_ORDER_MILLIS) {
						break;
					}
					continue;
				}
				long next = this.version;
				this.version += 3;
				Lab.thread(() -> {
					try {
						order(next, routes);
					}
					finally {
						eight.release();
					}
				});
				Thread.sleep(GAP_MILLIS);
			}
			Thread.sleep(500);
		}
		while (this.open.get() > 0 && elapsedMillis() < LAST_WAIT_MILLIS) {
			Thread.sleep(100);
		}
		this.openSince.forEach((number, since) -> {
			long millis = (System.nanoTime() - since) / 1_000_000;
			this.longestAck = Math.max(this.longestAck, millis);
			this.lab.note("order " + number + " has no acknowledgement after " + millis + " ms");
		});
		this.lab.note("all orders have ended but " + this.open + "; acknowledged up to " + this.acknowledged);
		return judge();
	}

	private long elapsedMillis() {
		return (System.nanoTime() - this.begunAt) / 1_000_000;
	}

	private void supervise(Lab.Machine machine) throws Exception {
		while (!this.over) {
			int code = machine.process.waitFor();
			if (this.over) {
				return;
			}
			this.ends.merge(machine.name, 1, Integer::sum);
			this.lab.note("END: " + machine.name + " ended by itself with code " + code + ", "
					+ faults(machine));
			Thread.sleep(300);
			machine.start(false);
		}
	}

	private static String faults(Lab.Machine machine) throws IOException {
		List<String> lines = Files.readAllLines(machine.log());
		return lines.stream()
			.filter((line) -> line.contains("OutOfMemoryError") || line.contains("FATAL"))
			.reduce((first, second) -> second)
			.map((line) -> line.substring(0, Math.min(200, line.length())))
			.orElse("no fault in its log");
	}

	// One order: the same again to another machine until it is acknowledged.
	private void order(long number, int routes) throws Exception {
		this.open.incrementAndGet();
		this.openSince.put(number, System.nanoTime());
		String json = configuration(number, routes);
		Random random = new Random(number);
		long begun = System.nanoTime();
		for (int i = 0; !this.over; i++) {
			Lab.Machine machine = this.lab.controls.get(random.nextInt(this.lab.controls.size()));
			try {
				if (this.lab.put(machine, json, TRY_MILLIS).status == 200) {
					break;
				}
			}
			catch (IOException ex) {
				// Another machine is asked.
			}
			Thread.sleep(Math.min(1_600, 100L << Math.min(i, 4)));
		}
		long millis = (System.nanoTime() - begun) / 1_000_000;
		synchronized (this) {
			this.acknowledged = Math.max(this.acknowledged, number);
			this.longestAck = Math.max(this.longestAck, millis);
		}
		this.openSince.remove(number);
		this.open.decrementAndGet();
		if (millis > 2_000) {
			this.lab.note("order " + number + " took " + millis + " ms");
		}
	}

	private int judge() throws Exception {
		Map<String, Long> answeredAt = new TreeMap<>();
		boolean readBack = false;
		for (long end = System.nanoTime() + 15_000_000_000L; System.nanoTime() < end && elapsedMillis() < 105_000;) {
			for (Lab.Machine machine : this.lab.controls) {
				try {
					Lab.Answer answer = this.lab.get(machine);
					if (answer.status == 200) {
						answeredAt.put(machine.name, System.nanoTime());
						String text = new String(answer.body);
						int at = text.indexOf("\"version\":") + 10;
						long read = Long.parseLong(text.substring(at).replaceAll("[^0-9].*", ""));
						readBack |= read >= this.acknowledged;
					}
				}
				catch (IOException ex) {
					// It is asked again.
				}
			}
			Thread.sleep(1_000);
		}
		List<String> silent = new ArrayList<>();
		for (Lab.Machine machine : this.lab.controls) {
			if (!answeredAt.containsKey(machine.name)) {
				silent.add(machine.name);
				this.lab.note("HANG: " + machine.name + " has answered no read for 15 s, its process runs: "
						+ machine.process.isAlive() + ", " + faults(machine));
			}
		}
		long bound = ACK_MILLIS + 3L * (1 + GROWTHS * GROWTH);
		long thrice = this.ends.values().stream().filter((count) -> count >= 3).count();
		this.lab.note("ended by themselves " + new TreeMap<>(this.ends) + "; silent " + silent + "; read back "
				+ readBack + "; longest acknowledgement " + this.longestAck + " ms, bound " + bound);
		boolean broken = !readBack || thrice >= 2 || this.longestAck > bound;
		return (broken) ? 1 : 0;
	}

}
