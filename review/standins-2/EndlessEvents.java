import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The model runners are in trouble: they begin an event that has no end. The requests to the other service, whose runners are
 * sound, come over connections that their clients keep.
 */
final class EndlessEvents implements Case {

	/** The part of the model runners' answers that has no end. */
	private static final double SHARE = Double.parseDouble(System.getProperty("share", "1"));

	private static final int TROUBLE_SECONDS = Integer.getInteger("seconds", 85);

	/** A tenth of the eleven machines in use, and two at least. */
	private static final int MACHINES = 2;

	private static final int KEPT_PER_FRONT = 7;

	private final Record record;

	private final Site site;

	private final Platform platform;

	private final ExecutorService clients = Executors.newCachedThreadPool((task) -> {
		Thread thread = new Thread(null, task, "client", 128 * 1024);
		thread.setDaemon(true);
		return thread;
	});

	private final AtomicInteger asked = new AtomicInteger();

	private final AtomicInteger answered = new AtomicInteger();

	private final AtomicInteger lost = new AtomicInteger();

	private final AtomicInteger endless = new AtomicInteger();

	private final java.util.Set<String> begun = java.util.concurrent.ConcurrentHashMap.newKeySet();

	private volatile boolean troubled;

	private volatile boolean ended;

	private EndlessEvents(Record record) throws Exception {
		this.record = record;
		this.site = new Site(record, 6, 5);
		this.platform = new Platform(this.site.net + "5", this.site.listPort);
	}

	public static void main(String[] args) throws Exception {
		Case.run(args[0], EndlessEvents::new);
	}

	@Override
	public void close() {
		this.site.close();
		this.platform.close();
	}

	@Override
	public boolean isBroken(boolean trouble) throws Exception {
		List<String> entries = new ArrayList<>();
		for (int i = 0; i < 16; i++) {
			boolean model = i < 13;
			Runner runner = new Troubled("i-7f3a9" + Integer.toHexString(0x100 + i), (model) ? "draftmind" : "casedesk",
					Site.ZONES.get(i % 3), this.site.net + (100 + i), (model) ? 64 : 6);
			runner.start();
			entries.add(runner.entry());
		}
		this.platform.show(entries);
		this.site.start();
		this.site.put(Config.json(7), 20_000);
		this.site.awaitReady(20_000);
		Thread.sleep(2_000);
		traffic("digest", 13, 17_020, 120);
		traffic("synth", 10.5, 9_190, 51);
		traffic("brief", 14.6, 1_460, 171);
		for (Site.Machine front : this.site.fronts()) {
			for (int i = 0; i < KEPT_PER_FRONT; i++) {
				Runner.daemon(() -> keep(front));
			}
		}
		this.record.line("traffic begins");
		Thread.sleep(8_000);
		this.record.line((trouble) ? "from now on, answers of the model runners have no end" : "no trouble");
		this.troubled = trouble;
		Map<String, Integer> ends = new TreeMap<>();
		Map<String, Long> restartAt = new TreeMap<>();
		long end = System.nanoTime() + TROUBLE_SECONDS * 1_000_000_000L;
		while (System.nanoTime() < end && thrice(ends) < MACHINES) {
			Thread.sleep(50);
			for (Site.Machine machine : this.site.machines) {
				Long due = restartAt.get(machine.name);
				if (due != null && System.nanoTime() > due) {
					restartAt.remove(machine.name);
					machine.start(false);
					this.record.line("the process of " + machine.name + " is started again");
				}
				else if (due == null && !machine.alive()) {
					List<String> log = machine.logLines();
					ends.merge(machine.name, 1, Integer::sum);
					restartAt.put(machine.name, System.nanoTime() + 1_000_000_000L);
					this.record.line("the process of " + machine.name + " has ended by itself, status "
							+ machine.process.exitValue() + ": " + log.get(log.size() - 1));
				}
			}
		}
		this.troubled = false;
		this.record.line("the trouble is over");
		Thread.sleep(3_000);
		this.ended = true;
		this.record.line("answers without end: " + this.endless + "; ends of processes by themselves: " + ends
				+ "; requests over kept connections: asked " + this.asked + ", answered " + this.answered
				+ ", passed on to a sound runner and closed without an answer " + this.lost);
		if (!trouble && this.answered.get() < 50) {
			throw new Site.CannotRun("the kept connections were not served");
		}
		return thrice(ends) >= MACHINES;
	}

	// How many machines have had three ends or more.
	private static long thrice(Map<String, Integer> ends) {
		return ends.values().stream().filter((count) -> count >= 3).count();
	}

	private void traffic(String route, double perSecond, int promptTokens, int meanOutput) {
		Runner.daemon(() -> {
			Random random = new Random();
			while (!this.ended) {
				Thread.sleep((long) (-Math.log(1 - random.nextDouble()) * 1_000 / perSecond));
				double size = Math.exp(random.nextGaussian() * 0.8 - 0.32);
				int output = (int) Math.max(3, Math.min(600, meanOutput * size));
				int thing = random.nextInt(100);
				List<Site.Machine> fronts = this.site.fronts().stream().filter(Site.Machine::alive).toList();
				if (fronts.isEmpty()) {
					continue;
				}
				InetSocketAddress front = fronts.get(random.nextInt(fronts.size())).front();
				this.clients.submit(() -> {
					String id = Client.id();
					String shared = Integer.toHexString(0x5c1e0000 + Math.abs(route.hashCode() % 97) * 1_000 + thing);
					Client.stream(front, Config.HOST, "/" + route + "/2f", id, Config.KEY,
							(route.equals("synth")) ? 6_000 : 12_000, promptTokens + "," + output,
							shared + ":" + promptTokens * 2 / 3 + "," + id.substring(8) + ":" + promptTokens / 3, "");
				});
			}
		});
	}

	// Sends one request after the other over a connection, as long as that lasts.
	private void keep(Site.Machine front) throws Exception {
		Random random = new Random();
		while (!this.ended) {
			try (Socket socket = new Socket()) {
				socket.connect(front.front(), 1_000);
				socket.setTcpNoDelay(true);
				InputStream in = new BufferedInputStream(socket.getInputStream());
				for (int number = 0; !this.ended; number++) {
					Thread.sleep((long) (-Math.log(1 - random.nextDouble()) * 3_000));
					if (!ask(front, socket, in, number)) {
						break;
					}
				}
			}
			catch (IOException ex) {
				Thread.sleep(200);
			}
		}
	}

	private boolean ask(Site.Machine front, Socket socket, InputStream in, int number) throws IOException {
		String id = Client.id();
		this.asked.incrementAndGet();
		socket.setSoTimeout(1_500);
		try {
			Http.write(socket.getOutputStream(),
					"POST /receipt/2f HTTP/1.1\r\nHost: " + Config.HOST + "\r\nRequest-Id: " + id
							+ "\r\nRequest-Deadline: 1500\r\nKey: " + Config.KEY
							+ "\r\nContent-Length: 5\r\n\r\nhello");
			Http.Head head = Http.head(in);
			if (head == null) {
				closed(front, id, number, "closed");
				return false;
			}
			Http.body(in, head);
			this.answered.incrementAndGet();
			return !"close".equalsIgnoreCase(head.header("connection"));
		}
		catch (SocketTimeoutException ex) {
			return false;
		}
		catch (IOException ex) {
			closed(front, id, number, ex.toString());
			return false;
		}
	}

	private void closed(Site.Machine front, String id, int number, String how) {
		if (number > 0 && this.begun.contains(id)) {
			this.lost.incrementAndGet();
			this.record.line("request " + id + " over a kept connection to " + front.name
					+ " was run by a runner, and the connection ended without an answer: " + how);
		}
	}

	/** A runner that may be in trouble. */
	private final class Troubled extends Runner {

		private Troubled(String id, String service, String zone, String ip, int slots) {
			super(EndlessEvents.this.record, id, service, zone, ip, EndlessEvents.this.site.listPort + 1, slots, "v1");
		}

		@Override
		void answer(Http.Head request, OutputStream out, String run) throws IOException, InterruptedException {
			if (request.header("token-count").isEmpty()) {
				EndlessEvents.this.begun.add(request.header("request-id"));
			}
			super.answer(request, out, run);
		}

		@Override
		void stream(Http.Head request, OutputStream out, String run) throws IOException, InterruptedException {
			if (!EndlessEvents.this.troubled || ThreadLocalRandom.current().nextDouble() >= SHARE) {
				super.stream(request, out, run);
				return;
			}
			EndlessEvents.this.endless.incrementAndGet();
			Thread.sleep(20 + Integer.parseInt(request.header("token-count").split(",")[0]) / 61);
			Http.write(out, head(request, 200,
					"Response-Seal: seal\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
			// Ends when the caller closes the connection.
			for (int i = 0;; i++) {
				int bytes = (i < 10) ? 60_000 : 1_000;
				Http.write(out, Integer.toHexString(bytes) + "\r\n" + "x".repeat(bytes) + "\r\n");
				Thread.sleep((i < 10) ? 20 : 100);
			}
		}

	}

}
