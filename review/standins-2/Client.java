import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** A client: each request over a connection of its own, or several over a kept one. */
final class Client {

	private static final AtomicLong NUMBER = new AtomicLong(System.nanoTime() & 0xffffffL);

	private Client() {
	}

	static String id() {
		return String.format("%016x", NUMBER.incrementAndGet() * 0x9e3779b97f4a7c15L);
	}

	/**
	 * Return after which gap a client abandons a stream, also before its first event: two seconds, four times the objective or
	 * eight times the longest pause, whichever is longest.
	 * @param route the route
	 * @return milliseconds, from the sheet
	 */
	static int gapMillis(String route) {
		return switch (route) {
			case "digest" -> 8_000;
			case "synth" -> 3_200;
			default -> 2_000;
		};
	}

	/**
	 * Ask for a stream.
	 * @param gapMillis after how long without a byte the client leaves
	 * @param more further header lines, each with its end
	 * @return what came
	 */
	static Stream stream(InetSocketAddress front, String host, String path, String id, String key, int deadlineMillis,
			int gapMillis, String tokens, String prefix, String more) {
		Stream stream = new Stream(id);
		try (Socket socket = new Socket()) {
			socket.connect(front, 1_000);
			socket.setTcpNoDelay(true);
			socket.setSoTimeout(Math.min(deadlineMillis, gapMillis));
			String body = "x".repeat(1_000);
			Http.write(socket.getOutputStream(),
					"POST " + path + " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " + id + "\r\nModel: m\r\n"
							+ "Token-Count: " + tokens + "\r\nPrompt-Prefix: " + prefix + "\r\nRequest-Deadline: "
							+ deadlineMillis + "\r\nKey: " + key + "\r\n" + more + "Content-Length: " + body.length()
							+ "\r\n\r\n" + body);
			InputStream in = new BufferedInputStream(socket.getInputStream());
			Http.Head head = Http.head(in);
			if (head == null) {
				stream.end = "closed unanswered";
				return stream;
			}
			stream.status = head.status();
			stream.retryAfter = head.header("retry-after");
			if (stream.status != 200) {
				Http.body(in, head);
				stream.end = "status " + stream.status;
				return stream;
			}
			StringBuilder text = new StringBuilder();
			for (byte[] chunk = Http.chunk(in); chunk.length > 0; chunk = Http.chunk(in)) {
				text.append(new String(chunk, StandardCharsets.UTF_8));
				for (int end = text.indexOf("\n\n"); end >= 0; end = text.indexOf("\n\n")) {
					stream.events.add(text.substring(0, end));
					text.delete(0, end + 2);
				}
			}
			stream.complete = true;
			stream.end = "complete";
		}
		catch (IOException | RuntimeException ex) {
			stream.end = "broken off: " + ex;
		}
		return stream;
	}

	/** What a client got of a stream in one attempt. */
	static final class Stream {

		final String id;

		final List<String> events = new ArrayList<>();

		int status;

		boolean complete;

		String retryAfter = "";

		String end = "";

		Stream(String id) {
			this.id = id;
		}

		String lastEventId() {
			if (this.events.isEmpty()) {
				return "";
			}
			String last = this.events.get(this.events.size() - 1);
			return last.substring(4, last.indexOf('\n'));
		}

	}

}
