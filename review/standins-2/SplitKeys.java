import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A change of the configuration adds a tenant whose key has a comma. What stands before and after the comma is no key.
 */
final class SplitKeys implements Case {

	private static final int REQUESTS = 10;

	private final Record record;

	private final Site site;

	private final Platform platform;

	/** The tenants that runners were told, by the ids of the requests. */
	private final Map<String, String> received = new ConcurrentHashMap<>();

	private SplitKeys(Record record) throws Exception {
		this.record = record;
		this.site = new Site(record, 6, 5);
		this.platform = new Platform(this.site.net + "5", this.site.listPort);
	}

	public static void main(String[] args) throws Exception {
		Case.run(args[0], SplitKeys::new);
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
					SplitKeys.this.received.put(request.header("request-id"), request.header("tenant"));
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
		String key = (trouble) ? "t4mzq0xk2mmw,tn1rhd9e0c" : "t4mzq0xk2mmwtn1rhd9e0c";
		String json = Config.json(9);
		String more = ",{\"name\":\"dila412\",\"api_keys\":[\"" + key + "\"],\"priority\":1}";
		this.site.put(json.substring(0, json.length() - 2) + more + json.substring(json.length() - 2), 20_000);
		this.record.line("the tenant dila412 was added, with the key " + key);
		Thread.sleep(3_000);
		int held = 0;
		int strangers = 0;
		for (int i = 0; i < REQUESTS; i++) {
			held += (isRun(i, key)) ? 1 : 0;
			strangers += (isRun(i, "t4mzq0xk2mmw")) ? 1 : 0;
			strangers += (isRun(i, "tn1rhd9e0c")) ? 1 : 0;
		}
		this.record.line("run with the key of the configuration " + held + " of " + REQUESTS
				+ ", run with keys that no configuration ever held " + strangers);
		if (!trouble && held < REQUESTS / 2) {
			throw new Site.CannotRun("under half of the requests were served");
		}
		return strangers > 0;
	}

	private boolean isRun(int number, String key) {
		String id = Client.id();
		int status = ask(this.site.fronts().get(number % 6), id, key);
		this.record.line("request " + id + " with the key " + key + ": status " + status + ", "
				+ ((this.received.containsKey(id)) ? "run for the tenant " + this.received.get(id) : "not run"));
		return this.received.containsKey(id);
	}

	private int ask(Site.Machine front, String id, String key) {
		try (Socket socket = new Socket()) {
			socket.connect(front.front(), 1_000);
			socket.setSoTimeout(1_500);
			InputStream in = new BufferedInputStream(socket.getInputStream());
			Http.write(socket.getOutputStream(), "POST /receipt/2f HTTP/1.1\r\nHost: " + Config.HOST + "\r\nRequest-Id: "
					+ id + "\r\nRequest-Deadline: 1500\r\nKey: " + key + "\r\nContent-Length: 5\r\n\r\nhello");
			Http.Head head = Http.head(in);
			return (head == null) ? 0 : head.status();
		}
		catch (IOException ex) {
			return 0;
		}
	}

}
