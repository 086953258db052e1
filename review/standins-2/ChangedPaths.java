import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A client writes letters outside of ASCII into path and query as they are, in UTF-8. The runner must get both unchanged.
 */
final class ChangedPaths implements Case {

	private static final int REQUESTS = 20;

	private final Record record;

	private final Site site;

	private final Platform platform;

	/** The request lines that runners got, by the ids of the requests. */
	private final Map<String, String> received = new ConcurrentHashMap<>();

	private ChangedPaths(Record record) throws Exception {
		this.record = record;
		this.site = new Site(record, 6, 5);
		this.platform = new Platform(this.site.net + "5", this.site.listPort);
	}

	public static void main(String[] args) throws Exception {
		Case.run(args[0], ChangedPaths::new);
	}

	@Override
	public void close() {
		this.site.close();
		this.platform.close();
	}

	@Override
	public boolean isBroken(boolean trouble) throws Exception {
		List<String> entries = new ArrayList<>();
		for (int i = 0; i < 3; i++) {
			Runner runner = new Runner(this.record, "i-7f3a9" + Integer.toHexString(0x100 + i), "casedesk",
					Site.ZONES.get(i), this.site.net + (100 + i), this.site.listPort + 1, 6, "v1") {

				@Override
				void answer(Http.Head request, OutputStream out, String run) throws IOException, InterruptedException {
					ChangedPaths.this.received.put(request.header("request-id"), request.line());
					super.answer(request, out, run);
				}

			};
			runner.start();
			entries.add(runner.entry());
		}
		this.platform.show(entries);
		this.site.start();
		this.site.put(Config.json(7), 20_000);
		this.site.awaitReady(20_000);
		int served = 0;
		int changed = 0;
		for (int i = 0; i < REQUESTS; i++) {
			String id = Client.id();
			String target = (trouble) ? "/ping/J\u00f3zsef/M\u0171hely?q=sz\u00e1mla-" + i : "/ping/Jozsef/Muhely?q=szamla-" + i;
			String sent = "GET " + target + " HTTP/1.1";
			int status = ask(this.site.fronts().get(i % 6), id, sent);
			String bytes = this.received.getOrDefault(id, "(not run)");
			String text = new String(bytes.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8);
			this.record.line("request " + id + ": sent " + sent + ", status " + status + ", a runner got " + text);
			served += (status == 200) ? 1 : 0;
			changed += (this.received.containsKey(id) && !text.equals(sent)) ? 1 : 0;
		}
		this.record.line("served " + served + " of " + REQUESTS + ", run with another path or query " + changed);
		if (!trouble && served < REQUESTS / 2) {
			throw new Site.CannotRun("under half of the requests were served");
		}
		return changed > 0;
	}

	private int ask(Site.Machine front, String id, String line) throws IOException {
		try (Socket socket = new Socket()) {
			socket.connect(front.front(), 1_000);
			socket.setSoTimeout(1_500);
			InputStream in = new BufferedInputStream(socket.getInputStream());
			String text = line + "\r\nHost: " + Config.HOST + "\r\nRequest-Id: " + id
					+ "\r\nRequest-Deadline: 1500\r\nKey: " + Config.KEY + "\r\n\r\n";
			socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
			Http.Head head = Http.head(in);
			return (head == null) ? 0 : head.status();
		}
		catch (IOException ex) {
			return 0;
		}
	}

}
