import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A change of the configuration adds a route to a service whose name ends with a colon and a number, and adds a tenant whose key has a
 * comma. The route's requests belong to that service, and what stands before and after the comma is no key.
 */
final class JoinedTexts implements Case {

	private static final int REQUESTS = 10;

	private final Record record;

	private final Site site;

	private final Platform platform;

	/** The services that ran requests, by the ids of these. */
	private final Map<String, String> services = new ConcurrentHashMap<>();

	/** The tenants that runners were told, by the ids of the requests. */
	private final Map<String, String> received = new ConcurrentHashMap<>();

	private JoinedTexts(Record record) throws Exception {
		this.record = record;
		this.site = new Site(record, 6, 5);
		this.platform = new Platform(this.site.net + "5", this.site.listPort);
	}

	public static void main(String[] args) throws Exception {
		Case.run(args[0], JoinedTexts::new);
	}

	@Override
	public void close() {
		this.site.close();
		this.platform.close();
	}

	@Override
	public boolean isBroken(boolean trouble) throws Exception {
		String service = (trouble) ? "casedesk:2" : "casedesk-2";
		String key = (trouble) ? "t4mzq0xk2mmw,tn1rhd9e0c" : "t4mzq0xk2mmwtn1rhd9e0c";
		List<String> entries = new ArrayList<>();
		for (int i = 0; i < 6; i++) {
			Runner runner = new Runner(this.record, "i-7f3a9" + Integer.toHexString(0x100 + i),
					(i < 3) ? "casedesk" : service, Site.ZONES.get(i % 3), this.site.net + (100 + i),
					this.site.listPort + 1, 6, "v1") {

				@Override
				void begins(Http.Head request) {
					JoinedTexts.this.services.put(request.header("request-id"), this.service);
					JoinedTexts.this.received.put(request.header("request-id"), request.header("tenant"));
				}

			};
			runner.start();
			entries.add(runner.entry());
		}
		this.platform.show(entries);
		this.site.start();
		String json = Config.json(7);
		this.site.put(json.replace("\"services\":[", "\"services\":[" + declared(service) + ","), 20_000);
		this.site.awaitReady(20_000);
		json = Config.json(9).replace("\"services\":[", "\"services\":[" + declared(service) + ",");
		json = json.replace("],\"services\":", "," + route(service) + "],\"services\":");
		String more = ",{\"name\":\"dila412\",\"api_keys\":[\"" + key + "\"],\"priority\":1}";
		this.site.put(json.substring(0, json.length() - 2) + more + json.substring(json.length() - 2), 20_000);
		this.record.line("a route to the service " + service + " was added, and the tenant dila412 with the key " + key);
		Thread.sleep(3_000);
		int moved = 0;
		int elsewhere = 0;
		int held = 0;
		int strangers = 0;
		for (int i = 0; i < REQUESTS; i++) {
			String id = Client.id();
			int status = ask(this.site.fronts().get(i % 6), id, "/added/2f", Config.KEY);
			String ran = this.services.getOrDefault(id, "none");
			this.record.line("request " + id + " on the route to " + service + ": status " + status + ", run by " + ran);
			moved += (ran.equals(service)) ? 1 : 0;
			elsewhere += (ran.equals(service) || ran.equals("none")) ? 0 : 1;
			held += (isRun(i, key)) ? 1 : 0;
			strangers += (isRun(i, "t4mzq0xk2mmw")) ? 1 : 0;
			strangers += (isRun(i, "tn1rhd9e0c")) ? 1 : 0;
		}
		this.record.line("run by the route's service " + moved + " of " + REQUESTS + ", by another one " + elsewhere
				+ "; run with the key of the configuration " + held + " of " + REQUESTS
				+ ", with keys that no configuration ever held " + strangers);
		if (!trouble && (held < REQUESTS / 2 || moved < REQUESTS / 2)) {
			throw new Site.CannotRun("under half of the requests were served");
		}
		return elsewhere > 0 || strangers > 0;
	}

	private static String declared(String service) {
		return "{\"name\":\"" + service + "\",\"health_path\":\"/health\",\"max_connections\":96,\"protocol\":\"h1\",\"tls\":false}";
	}

	private static String route(String service) {
		return "{\"name\":\"r-added\",\"host\":\"" + Config.HOST + "\",\"path_prefix\":\"/added/\",\"kind\":\"unsafe\","
				+ "\"timeout_ms\":800,\"target_latency_ms\":150,\"priority\":2,\"service\":\"" + service
				+ "\",\"max_attempts\":1,\"allow_anonymous\":false,\"session_affinity\":false}";
	}

	private boolean isRun(int number, String key) {
		String id = Client.id();
		int status = ask(this.site.fronts().get(number % 6), id, "/receipt/2f", key);
		this.record.line("request " + id + " with the key " + key + ": status " + status + ", "
				+ ((this.received.containsKey(id)) ? "run for the tenant " + this.received.get(id) : "not run"));
		return this.received.containsKey(id);
	}

	private int ask(Site.Machine front, String id, String path, String key) {
		try (Socket socket = new Socket()) {
			socket.connect(front.front(), 1_000);
			socket.setSoTimeout(1_500);
			InputStream in = new BufferedInputStream(socket.getInputStream());
			Http.write(socket.getOutputStream(), "POST " + path + " HTTP/1.1\r\nHost: " + Config.HOST + "\r\nRequest-Id: "
					+ id + "\r\nRequest-Deadline: 1500\r\nKey: " + key + "\r\nContent-Length: 5\r\n\r\nhello");
			Http.Head head = Http.head(in);
			return (head == null) ? 0 : head.status();
		}
		catch (IOException ex) {
			return 0;
		}
	}

}
