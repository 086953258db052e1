import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Runners crash one after the other, and each is back under its id with another version of its software. A stream must go on
 * only at the version that began it.
 */
final class MixedVersions implements Case {

	private static final int MODEL_RUNNERS = 13;

	/** Of thirteen: a share of 0.23. */
	private static final int GROUP = 3;

	/** How long those that crash are away. */
	private static final long DOWN_MILLIS = 2_000;

	/** How long they are back before the next ones crash. */
	private static final long NEXT_MILLIS = 400;

	/** After these statuses no client tries again. */
	private static final Set<Integer> FINAL = Set.of(400, 401, 404, 413, 431);

	private final Record record;

	private final Site site;

	private final Platform platform;

	private final List<Runner> runners = new ArrayList<>();

	private final ExecutorService clients = Executors.newCachedThreadPool((task) -> {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		return thread;
	});

	private final AtomicInteger streams = new AtomicInteger();

	private final AtomicInteger complete = new AtomicInteger();

	private final AtomicInteger failed = new AtomicInteger();

	private final AtomicInteger resumed = new AtomicInteger();

	private final AtomicInteger mixed = new AtomicInteger();

	private volatile boolean ended;

	private MixedVersions(Record record) throws Exception {
		this.record = record;
		this.site = new Site(record, 6, 5);
		this.platform = new Platform(this.site.net + "5", this.site.listPort);
	}

	public static void main(String[] args) throws Exception {
		Case.run(args[0], MixedVersions::new);
	}

	@Override
	public void close() {
		this.site.close();
		this.platform.close();
	}

	@Override
	public boolean isBroken(boolean trouble) throws Exception {
		for (int i = 0; i < MODEL_RUNNERS + 3; i++) {
			boolean model = i < MODEL_RUNNERS;
			Runner runner = new Runner(this.record, "i-7f3a9" + Integer.toHexString(0x100 + i),
					(model) ? "draftmind" : "casedesk", Site.ZONES.get(i % 3), this.site.net + (100 + i),
					this.site.listPort + 1, (model) ? 64 : 6, "v1");
			runner.gapMillis = 45;
			runner.start();
			this.runners.add(runner);
		}
		show();
		this.site.start();
		this.site.put(Config.json(7), 20_000);
		this.site.awaitReady(20_000);
		Thread.sleep(2_000);
		traffic("digest", 13, 17_020, 120, 40);
		traffic("synth", 10.5, 9_190, 51, 69);
		traffic("brief", 14.6, 1_460, 171, 200);
		this.record.line("traffic begins");
		Thread.sleep(16_000);
		for (int pass = 2; pass <= 4; pass++) {
			for (int from = 0; from + GROUP <= MODEL_RUNNERS; from += GROUP) {
				replace(this.runners.subList(from, from + GROUP), "v" + pass, trouble);
			}
		}
		Thread.sleep(4_000);
		this.ended = true;
		this.clients.shutdown();
		this.clients.awaitTermination(8, TimeUnit.SECONDS);
		this.record.line("streams that may be resumed: " + this.streams + ", complete " + this.complete + ", not complete "
				+ this.failed + ", with events of two runners " + this.resumed + ", with events of two versions " + this.mixed);
		if (this.complete.get() < this.streams.get() / 2) {
			throw new Site.CannotRun("under half of the streams were served");
		}
		return this.mixed.get() > 2;
	}

	// What crashes is back under its id, with the next version.
	private void replace(List<Runner> some, String version, boolean trouble) throws Exception {
		if (trouble) {
			for (Runner runner : some) {
				this.record.line("runner " + runner.id + " with " + runner.version + " crashes");
				runner.crash();
			}
		}
		Thread.sleep(DOWN_MILLIS);
		if (trouble) {
			for (Runner runner : some) {
				runner.version = version;
				runner.start();
				this.record.line("runner " + runner.id + " is back with " + version);
			}
			show();
		}
		Thread.sleep(NEXT_MILLIS);
	}

	private void show() {
		this.platform.show(this.runners.stream().map(Runner::entry).toList());
	}

	private void traffic(String route, double perSecond, int promptTokens, int meanOutput, int maxEvents) {
		Runner.daemon(() -> {
			Random random = new Random();
			while (!this.ended) {
				Thread.sleep((long) (-Math.log(1 - random.nextDouble()) * 1_000 / perSecond));
				double size = Math.exp(random.nextGaussian() * 0.8 - 0.32);
				int output = (int) Math.max(3, Math.min(maxEvents * 3L, meanOutput * size));
				int things = random.nextInt(100);
				List<Site.Machine> fronts = this.site.fronts();
				InetSocketAddress front = fronts.get(random.nextInt(fronts.size())).front();
				InetSocketAddress other = fronts.get(random.nextInt(fronts.size())).front();
				this.clients.submit(() -> one(route, front, other, promptTokens + "," + output, things));
			}
		});
	}

	// Waits as the answer says, for no longer than a limit.
	private static int rest(String retryAfter, int mostMillis) {
		if (retryAfter.isEmpty()) {
			return 0;
		}
		int millis = (int) Math.min(mostMillis, Double.parseDouble(retryAfter) * 1_000);
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		return millis;
	}

	private void one(String route, InetSocketAddress front, InetSocketAddress other, String tokens, int thing) {
		boolean resumable = route.equals("synth");
		int deadline = (resumable) ? 6_000 : 12_000;
		String id = Client.id();
		String shared = Integer.toHexString(0x5c1e0000 + route.hashCode() % 997 * 1_000 + thing) + ":"
				+ Integer.parseInt(tokens.split(",")[0]) * 2 / 3;
		String prefix = shared + "," + id.substring(8) + ":" + Integer.parseInt(tokens.split(",")[0]) / 3;
		long begun = System.nanoTime();
		Client.Stream first = Client.stream(front, Config.HOST, "/" + route + "/2f", id, Config.KEY, deadline,
				Client.gapMillis(route), tokens, prefix, "");
		if (!resumable) {
			return;
		}
		List<String> events = new ArrayList<>(first.events);
		Client.Stream last = first;
		int left = deadline - (int) ((System.nanoTime() - begun) / 1_000_000);
		if (!first.complete && !FINAL.contains(first.status) && left > 100) {
			left -= rest(first.retryAfter, left / 3);
			String more = (first.events.isEmpty()) ? ""
					: "Last-Event-Id: " + first.lastEventId() + "\r\nResumes: " + id + "\r\n";
			last = Client.stream(other, Config.HOST, "/" + route + "/2f", Client.id(), Config.KEY, left,
					Client.gapMillis(route), tokens, prefix, more);
			events.addAll(last.events);
		}
		Set<String> versions = new TreeSet<>();
		events.forEach((event) -> versions.add(event.substring(event.lastIndexOf(' ') + 1)));
		this.streams.incrementAndGet();
		((last.complete) ? this.complete : this.failed).incrementAndGet();
		Set<String> ids = new TreeSet<>();
		events.forEach((event) -> ids.add(event.substring(event.lastIndexOf(" by ") + 4, event.lastIndexOf(' '))));
		if (ids.size() > 1) {
			this.resumed.incrementAndGet();
		}
		if (versions.size() > 1) {
			this.mixed.incrementAndGet();
			this.record.line("stream " + id + " holds events of " + versions + ", sent to " + front + ", "
					+ ((last == first) ? "in one answer" : "over two tries") + ": " + events);
		}
		else if (!last.complete) {
			this.record.line("stream " + id + " ended: " + first.end + "; " + ((last == first) ? "" : last.end));
		}
	}

}
