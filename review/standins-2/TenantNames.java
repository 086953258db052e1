import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A change of the configuration adds two tenants. Their runners must be able to tell them apart by the name in
 * {@code Tenant}.
 */
final class TenantNames implements Case {

	private static final int REQUESTS = 20;

	private final Record record;

	private final Site site;

	private final Platform platform;

	/** The values of the header by the ids of the requests that were run. */
	private final Map<String, String> received = new ConcurrentHashMap<>();

	private TenantNames(Record record) throws Exception {
		this.record = record;
		this.site = new Site(record, 6, 5);
		this.platform = new Platform(this.site.net + "5", this.site.listPort);
	}

	public static void main(String[] args) throws Exception {
		Case.run(args[0], TenantNames::new);
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
				void begins(Http.Head request) {
					TenantNames.this.received.put(request.header("request-id"), request.header("tenant"));
				}

			};
			runner.start();
			entries.add(runner.entry());
		}
		this.platform.show(entries);
		this.site.start();
		this.site.put(Config.json(7), 20_000);
		this.site.awaitReady(20_000);
		// Two names of four letters of the Georgian alphabet, as JSON has them.
		List<String> names = (trouble) ? List.of("\u10d3\u10d8\u10da\u10d0", "\u10d2\u10d4\u10db\u10dd")
				: List.of("dila", "gemo");
		String more = ",{\"name\":\"" + names.get(0) + "\",\"api_keys\":[\"anfqasnmgkcuyj8pjbvk\"],\"priority\":1}"
				+ ",{\"name\":\"" + names.get(1) + "\",\"api_keys\":[\"b7zq0xk2mmw4tn1rhd9e\"],\"priority\":1}";
		String json = Config.json(9);
		this.site.put(json.substring(0, json.length() - 2) + more + json.substring(json.length() - 2), 20_000);
		this.record.line("the tenants " + names + " were added");
		Thread.sleep(3_000);
		Map<String, String> values = new TreeMap<>();
		List<String> keys = List.of("anfqasnmgkcuyj8pjbvk", "b7zq0xk2mmw4tn1rhd9e");
		int served = 0;
		int wrong = 0;
		for (int i = 0; i < REQUESTS; i++) {
			int tenant = i % 2;
			String id = Client.id();
			int status = ask(this.site.fronts().get(i % 6), id, keys.get(tenant));
			String bytes = this.received.getOrDefault(id, "(not run)");
			String text = new String(bytes.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8);
			this.record.line("request " + id + " with the key of " + names.get(tenant) + ": status " + status
					+ ", a runner got Tenant: " + text);
			served += (status == 200) ? 1 : 0;
			values.put(names.get(tenant), bytes);
			wrong += (this.received.containsKey(id) && bytes.equals(values.get(names.get(1 - tenant)))) ? 1 : 0;
		}
		this.record.line("served " + served + " of " + REQUESTS + ", run with the value that the other tenant's requests had "
				+ wrong);
		if (served < REQUESTS / 2) {
			throw new Site.CannotRun("under half of the requests were served");
		}
		return wrong > 0;
	}

	private int ask(Site.Machine front, String id, String key) throws IOException {
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
