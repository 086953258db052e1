import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.Executors;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * The platform's list of runners. It shows each change after a fixed lag, takes a number of calls a second from all
 * machines together, and has pages of fifty entries.
 */
final class Platform implements AutoCloseable {

	static final long LAG_MILLIS = 800;

	private static final int RATE_PER_SECOND = 40;

	private static final int PAGE = 50;

	private final HttpServer server;

	private final List<Change> changes = new ArrayList<>();

	private final Deque<Long> calls = new ArrayDeque<>();

	Platform(String ip, int port) throws IOException {
		this.server = HttpServer.create(new InetSocketAddress(ip, port), 64);
		this.server.setExecutor(Executors.newCachedThreadPool((task) -> {
			Thread thread = new Thread(task, "list");
			thread.setDaemon(true);
			return thread;
		}));
		this.server.createContext("/instances", this::answer);
		this.server.start();
	}

	/** Replace the list; callers see it after the lag. */
	synchronized void show(List<String> entries) {
		this.changes.add(new Change(System.nanoTime(), List.copyOf(entries)));
	}

	private synchronized List<String> visible() {
		long before = System.nanoTime() - LAG_MILLIS * 1_000_000L;
		List<String> latest = List.of();
		for (Change change : this.changes) {
			if (change.at <= before) {
				latest = change.entries;
			}
		}
		return latest;
	}

	private synchronized boolean admitted() {
		long now = System.nanoTime();
		while (!this.calls.isEmpty() && now - this.calls.peek() > 1_000_000_000L) {
			this.calls.remove();
		}
		if (this.calls.size() >= RATE_PER_SECOND) {
			return false;
		}
		this.calls.add(now);
		return true;
	}

	private void answer(HttpExchange exchange) throws IOException {
		if (!admitted()) {
			exchange.sendResponseHeaders(429, -1);
			exchange.close();
			return;
		}
		List<String> all = visible();
		String query = exchange.getRequestURI().getQuery();
		int from = (query != null && query.startsWith("page_token=p-")) ? Integer.parseInt(query.substring(13)) : 0;
		int to = Math.min(all.size(), from + PAGE);
		String json = "{\"instances\":[" + String.join(",", all.subList(Math.min(from, to), to)) + "],\"next\":"
				+ ((to < all.size()) ? "\"p-" + to + "\"" : "null") + "}";
		byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
		exchange.getResponseHeaders().set("Content-Type", "application/json");
		exchange.sendResponseHeaders(200, bytes.length);
		exchange.getResponseBody().write(bytes);
		exchange.close();
	}

	@Override
	public void close() {
		this.server.stop(0);
	}

	private record Change(long at, List<String> entries) {
	}

}
