import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A runner answers a long request before it has read all of it, with an answer that has no length, and crashes in the middle of that
 * answer. The client must not get what there was of it as a complete one.
 */
final class CutAnswers implements Case {

	/** One of them is a share of 0.25. */
	private static final int RUNNERS = 4;

	private static final int SLOTS = 6;

	private static final int CRASHES = 8;

	/** How long a runner that crashed is away. */
	private static final long DOWN_MILLIS = 2_000;

	/** Within {@code max_body_bytes} of the configuration, which is 4,194,304. */
	private static final int BODY_BYTES = 4_000_000;

	private static final int PARTS = 10;

	private static final int PART_BYTES = 2_000;

	private static final int ANSWER_BYTES = PARTS * PART_BYTES;

	private final Record record;

	private final Site site;

	private final Platform platform;

	private final AtomicInteger asked = new AtomicInteger();

	private final AtomicInteger whole = new AtomicInteger();

	private final AtomicInteger cut = new AtomicInteger();

	private volatile boolean ended;

	/** The bytes that runners had sent of their answers, by the ids of the requests. */
	private final Map<String, Integer> sent = new ConcurrentHashMap<>();

	private CutAnswers(Record record) throws Exception {
		this.record = record;
		this.site = new Site(record, 6, 5);
		this.platform = new Platform(this.site.net + "5", this.site.listPort);
	}

	public static void main(String[] args) throws Exception {
		Case.run(args[0], CutAnswers::new);
	}

	@Override
	public void close() {
		this.site.close();
		this.platform.close();
	}

	@Override
	public boolean isBroken(boolean trouble) throws Exception {
		List<Early> runners = new ArrayList<>();
		for (int i = 0; i < RUNNERS; i++) {
			Early runner = new Early("i-7f3a9" + Integer.toHexString(0x100 + i), Site.ZONES.get(i % 3),
					this.site.net + (100 + i));
			runner.start();
			runners.add(runner);
		}
		show(runners);
		this.site.start();
		this.site.put(Config.json(7), 20_000);
		this.site.awaitReady(20_000);
		Thread.sleep(2_000);
		for (Site.Machine front : this.site.fronts()) {
			Runner.daemon(() -> {
				while (!this.ended) {
					judge(ask(front, Client.id()));
					Thread.sleep(100);
				}
			});
		}
		this.record.line("traffic begins");
		Thread.sleep(3_000);
		for (int i = 0; i < CRASHES; i++) {
			Early runner = runners.get(i % runners.size());
			if (trouble) {
				runner.awaitAnswering();
				Thread.sleep(100);
				this.record.line("runner " + runner.id + " crashes");
				runner.crash();
			}
			Thread.sleep(DOWN_MILLIS);
			if (trouble) {
				runner.start();
				show(runners);
				this.record.line("runner " + runner.id + " is back");
			}
			Thread.sleep(1_000);
		}
		this.ended = true;
		Thread.sleep(1_500);
		this.record.line("requests " + this.asked + ", whole answers " + this.whole
				+ ", successes with a part of the runner's answer " + this.cut);
		if (this.whole.get() < 20) {
			throw new Site.CannotRun("too few requests were served");
		}
		return this.cut.get() > 0;
	}

	private void show(List<Early> runners) {
		this.platform.show(runners.stream().map(Early::entry).toList());
	}

	private void judge(Answer answer) {
		boolean success = answer.status == 200 && answer.complete;
		this.asked.incrementAndGet();
		if (success && answer.bytes == ANSWER_BYTES) {
			this.whole.incrementAndGet();
			return;
		}
		this.record.line("request " + answer.id + ": its runner sent " + this.sent.getOrDefault(answer.id, 0) + " of "
				+ ANSWER_BYTES + " bytes, the client got " + answer);
		if (success) {
			this.cut.incrementAndGet();
		}
	}

	private Answer ask(Site.Machine front, String id) {
		Answer answer = new Answer(id);
		try (Socket socket = new Socket()) {
			socket.connect(front.front(), 1_000);
			socket.setSoTimeout(3_000);
			InputStream in = new BufferedInputStream(socket.getInputStream());
			OutputStream out = socket.getOutputStream();
			Http.write(out, "POST /receipt/2f HTTP/1.1\r\nHost: " + Config.HOST + "\r\nRequest-Id: " + id
					+ "\r\nRequest-Deadline: 1500\r\nKey: " + Config.KEY + "\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n");
			out.write(new byte[BODY_BYTES]);
			out.flush();
			Http.Head head = Http.head(in);
			if (head != null) {
				answer.status = head.status();
				answer.seal = head.header("response-seal");
				// Without a length or chunks the body ends with the connection; a reset throws.
				answer.bytes = (head.header("content-length").isEmpty() && head.header("transfer-encoding").isEmpty())
						? in.readAllBytes().length : Http.body(in, head).length;
				answer.complete = true;
			}
		}
		catch (IOException ex) {
			answer.end = ex.toString();
		}
		return answer;
	}

	/** What a client got. */
	private static final class Answer {

		private final String id;

		private int status;

		private String seal = "";

		private int bytes;

		private boolean complete;

		private String end = "";

		private Answer(String id) {
			this.id = id;
		}

		@Override
		public String toString() {
			return "status " + this.status + ((this.seal.isEmpty()) ? "" : " with the runner's seal") + ", " + this.bytes
					+ " bytes" + ((this.complete) ? ", complete" : ", not complete") + " " + this.end;
		}

	}

	/** A runner that answers before it has read a long request, without a length, and reads the rest later. */
	private final class Early {

		private final String id;

		private final String zone;

		private final String ip;

		private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

		private final AtomicInteger answering = new AtomicInteger();

		private volatile long born;

		private volatile ServerSocket server;

		private Early(String id, String zone, String ip) {
			this.id = id;
			this.zone = zone;
			this.ip = ip;
		}

		private String entry() {
			return "{\"service\":\"casedesk\",\"address\":\"" + this.ip + ":" + port() + "\",\"zone\":\"" + this.zone
					+ "\",\"version\":\"v1\",\"slots\":" + SLOTS
					+ ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"born\":" + this.born + ",\"id\":\"" + this.id
					+ "\"}";
		}

		private int port() {
			return CutAnswers.this.site.listPort + 1;
		}

		private void start() throws IOException {
			ServerSocket next = new ServerSocket();
			next.setReuseAddress(true);
			// As servers may set it; the system would take megabytes of a request that is not read.
			next.setReceiveBufferSize(65_536);
			next.bind(new InetSocketAddress(this.ip, port()), 256);
			this.server = next;
			this.born = System.currentTimeMillis();
			Runner.daemon(() -> {
				while (true) {
					Socket socket = next.accept();
					socket.setTcpNoDelay(true);
					this.sockets.add(socket);
					Runner.daemon(() -> serve(socket));
				}
			});
		}

		private void awaitAnswering() throws InterruptedException {
			while (this.answering.get() == 0) {
				Thread.sleep(1);
			}
		}

		// A process that is killed: with bytes unread, the system resets its connections.
		private void crash() throws IOException {
			this.server.close();
			for (Socket socket : this.sockets) {
				socket.setSoLinger(true, 0);
				socket.close();
			}
			this.sockets.clear();
		}

		private void serve(Socket socket) throws Exception {
			try (socket) {
				InputStream in = socket.getInputStream();
				OutputStream out = socket.getOutputStream();
				Http.Head head = Http.head(in);
				if (head == null) {
					return;
				}
				if (head.line().contains(" /health ")) {
					Http.write(out, head(head, 200) + "Instance-Id: " + this.id + "\r\nContent-Length: 0\r\n\r\n");
					return;
				}
				String expected = head.header("expect-instance");
				if (!expected.isEmpty() && !expected.equals(this.id)) {
					Http.write(out, head(head, 421) + "Instance-Id: " + this.id + "\r\nContent-Length: 0\r\n\r\n");
					return;
				}
				if (this.answering.get() >= SLOTS) {
					Http.write(out, head(head, 503) + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
					return;
				}
				answer(head, in, out);
			}
			finally {
				this.sockets.remove(socket);
			}
		}

		private String head(Http.Head request, int status) {
			return "HTTP/1.1 " + status + " X\r\nRequest-Id: " + request.header("request-id") + "\r\nServer-Load: "
					+ this.answering.get() + ",0," + SLOTS + "\r\nConnection: close\r\n";
		}

		private void answer(Http.Head head, InputStream in, OutputStream out) throws Exception {
			String request = head.header("request-id");
			int length = Integer.parseInt(head.headers().getOrDefault("content-length", "0"));
			this.answering.incrementAndGet();
			try {
				int early = in.readNBytes(Math.min(length, 4_096)).length;
				Http.write(out, head(head, 200) + "Response-Seal: seal\r\n\r\n");
				for (int part = 1; part <= PARTS; part++) {
					Http.write(out, "y".repeat(PART_BYTES));
					CutAnswers.this.sent.put(request, part * PART_BYTES);
					Thread.sleep(20);
				}
				in.readNBytes(length - early);
			}
			finally {
				this.answering.decrementAndGet();
			}
		}

	}

}
