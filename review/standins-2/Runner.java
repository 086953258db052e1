import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A stand-in for a runner. It serves one request at a time on a connection, runs a request only if it is the one that is
 * expected, and names itself and its version in each event, so that the client's record tells who wrote it.
 */
class Runner {

	static final int EVENT_TOKENS = 3;

	final String id;

	final String service;

	final String zone;

	final String ip;

	final int port;

	final int slots;

	final Record record;

	volatile String version;

	volatile long born;

	volatile boolean up;

	/** Milliseconds that a plain request takes. */
	volatile long workMillis = 43;

	/** Milliseconds between two events. */
	volatile long gapMillis = 30;

	final AtomicInteger running = new AtomicInteger();

	private volatile ServerSocket server;

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	Runner(Record record, String id, String service, String zone, String ip, int port, int slots, String version) {
		this.record = record;
		this.id = id;
		this.service = service;
		this.zone = zone;
		this.ip = ip;
		this.port = port;
		this.slots = slots;
		this.version = version;
	}

	String entry() {
		return "{\"service\":\"" + this.service + "\",\"address\":\"" + this.ip + ":" + this.port + "\",\"zone\":\""
				+ this.zone + "\",\"version\":\"" + this.version + "\",\"slots\":" + this.slots
				+ ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"born\":" + this.born + ",\"id\":\"" + this.id + "\"}";
	}

	void start() throws IOException {
		ServerSocket next = new ServerSocket();
		next.setReuseAddress(true);
		next.bind(new InetSocketAddress(this.ip, this.port), 256);
		this.server = next;
		this.born = System.currentTimeMillis();
		this.up = true;
		String run = this.version;
		daemon(() -> {
			while (true) {
				Socket socket = next.accept();
				socket.setTcpNoDelay(true);
				this.sockets.add(socket);
				if (this.server != next) {
					reset(socket);
				}
				daemon(() -> serve(socket, run));
			}
		});
	}

	/** End like a process that is killed: nothing listens, and all connections are gone. */
	void crash() throws IOException {
		this.up = false;
		ServerSocket last = this.server;
		this.server = null;
		last.close();
		for (Socket socket : this.sockets) {
			reset(socket);
		}
		this.sockets.clear();
	}

	private static void reset(Socket socket) {
		try {
			socket.setSoLinger(true, 0);
			socket.close();
		}
		catch (IOException ex) {
			// It is closed already.
		}
	}

	private void serve(Socket socket, String run) throws IOException {
		try (socket) {
			InputStream in = new BufferedInputStream(socket.getInputStream());
			OutputStream out = socket.getOutputStream();
			for (Http.Head head = Http.head(in); head != null; head = Http.head(in)) {
				Http.body(in, head);
				answer(head, out, run);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			this.sockets.remove(socket);
		}
	}

	String head(Http.Head request, int status, String more) {
		return "HTTP/1.1 " + status + " X\r\nRequest-Id: " + request.header("request-id") + "\r\nServer-Load: "
				+ this.running.get() + ",0," + this.slots + "\r\nKeep-Alive: timeout=20\r\n"
				+ ((request.header("token-count").isEmpty()) ? "" : "Weight-Versions: 1\r\n") + more;
	}

	void answer(Http.Head request, OutputStream out, String run) throws IOException, InterruptedException {
		String expected = request.header("expect-instance");
		if (request.line().contains(" /health ")) {
			Http.write(out, "HTTP/1.1 200 OK\r\nInstance-Id: " + this.id + "\r\nContent-Length: 0\r\n\r\n");
			return;
		}
		if (!expected.isEmpty() && !expected.equals(this.id)) {
			Http.write(out, head(request, 421, "Instance-Id: " + this.id + "\r\nContent-Length: 0\r\n\r\n"));
			return;
		}
		if (this.running.get() >= this.slots) {
			Http.write(out, head(request, 503, "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"));
			return;
		}
		this.running.incrementAndGet();
		begins(request);
		try {
			if (request.header("token-count").isEmpty()) {
				Thread.sleep(this.workMillis);
				String body = "done by " + this.id;
				Http.write(out, head(request, 200,
						"Response-Seal: seal\r\nContent-Length: " + body.length() + "\r\n\r\n" + body));
			}
			else {
				stream(request, out, run);
			}
		}
		finally {
			this.running.decrementAndGet();
		}
	}

	/** Called when a request is not rejected and begins to run. */
	void begins(Http.Head request) {
	}

	void stream(Http.Head request, OutputStream out, String run) throws IOException, InterruptedException {
		String[] tokens = request.header("token-count").split(",");
		int events = Math.max(1, Integer.parseInt(tokens[1].strip()) / EVENT_TOKENS);
		String last = request.header("last-event-id");
		int from = (last.isEmpty()) ? 0 : Integer.parseInt(last);
		Thread.sleep(20 + Integer.parseInt(tokens[0].strip()) / 61);
		Http.write(out, head(request, 200,
				"Response-Seal: seal\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
		for (int event = from + 1; event <= events; event++) {
			String text = "id: " + event + "\ndata: " + event + " of " + events + " by " + this.id + " " + run
					+ "\n\n";
			Http.write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
			Thread.sleep(this.gapMillis);
		}
		Http.write(out, "0\r\n\r\n");
	}

	static void daemon(Task task) {
		Thread thread = new Thread(() -> {
			try {
				task.run();
			}
			catch (Exception ex) {
				// The other side or the case closed the socket: the thread ends.
			}
		});
		thread.setDaemon(true);
		thread.start();
	}

	/** What a thread does. */
	interface Task {

		void run() throws Exception;

	}

}
