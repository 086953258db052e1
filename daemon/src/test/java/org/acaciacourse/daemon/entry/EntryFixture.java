package org.acaciacourse.daemon.entry;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.acaciacourse.core.manifest.ManifestParser;
import org.acaciacourse.core.model.Manifest;
import org.acaciacourse.core.settings.Settings;
import org.acaciacourse.daemon.telemetry.Traces;

/**
 * An entry daemon with fake endpoints and a fake control link.
 * <p>
 * Not thread safe: belongs to one test.
 */
final class EntryFixture implements AutoCloseable {

	static final String KEY = "sample";

	private static final String KEY_DIGEST = "af2bdbe1aa9b6ec1e2ade1d694f41fc71a831d0268e9891562113d8a62add1bf";

	private static final Pattern CONTENT = Pattern.compile("\"content\":\"([^\"]*)\"");

	final FakeLink link;

	final EntryDaemon daemon;

	final HttpClient client = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(Duration.ofSeconds(10))
		.build();

	private EntryFixture(String settings, boolean resume, boolean deterministic, List<FakeEndpoint> endpoints,
			Function<Settings, Traces> traces) throws IOException {
		Settings parsed = Settings.parse(settings, Set.of("vm", "inner", "entry")).get();
		this.link = new FakeLink(manifest(resume, deterministic, endpoints));
		this.daemon = new EntryDaemon(parsed, this.link, LeastLoadedDispatcher::new, traces.apply(parsed));
		this.daemon.start();
	}

	static Builder with(FakeEndpoint... endpoints) {
		return new Builder(Arrays.asList(endpoints));
	}

	private static Manifest manifest(boolean resume, boolean deterministic, List<FakeEndpoint> endpoints) {
		StringBuilder text = new StringBuilder("""
				[manifest]
				number = 7
				policy = tiered
				[policy tiered]
				kind = tiered
				[class standard]
				tier = middle
				target = first-token 10 s
				deadline = 60 s
				endpoint-sets = llm
				[class other]
				tier = low
				target = whole-answer 60 s
				deadline = 60 s
				endpoint-sets = llm
				[endpoint-set llm]
				kind = model
				models = m1
				resume = %s
				deterministic = %s
				[endpoint-set desk]
				kind = service
				[service desk]
				endpoint-set = desk
				class = standard
				not-repeated = POST /verdicts
				[customer sample]
				key-sha256 = %s
				classes = standard
				""".formatted(resume, deterministic, KEY_DIGEST));
		for (FakeEndpoint endpoint : endpoints) {
			for (String set : new String[] { "llm", "desk" }) {
				text.append("[endpoint %s-%d]\nset = %s\naddress = http://127.0.0.1:%d\ndata-centre = a\n"
					.formatted(set, endpoint.port(), set, endpoint.port()));
			}
		}
		return ManifestParser.document(text.toString()).flatMap(ManifestParser::manifest).get();
	}

	URI uri(String path) {
		return URI.create("http://127.0.0.1:" + this.daemon.port() + path);
	}

	HttpRequest.Builder chat(boolean stream, String... headers) {
		String body = "{\"model\":\"m1\",\"stream\":" + stream
				+ ",\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}";
		return post("/v1/chat/completions", body, headers);
	}

	HttpRequest.Builder post(String path, String body, String... headers) {
		HttpRequest.Builder request = HttpRequest.newBuilder(uri(path))
			.timeout(Duration.ofSeconds(30))
			.header("Authorization", "Bearer " + KEY)
			.POST(HttpRequest.BodyPublishers.ofString(body));
		List<String> all = new ArrayList<>(List.of(headers));
		return (all.isEmpty()) ? request : request.headers(all.toArray(String[]::new));
	}

	HttpResponse<String> send(HttpRequest.Builder request) throws IOException, InterruptedException {
		return this.client.send(request.build(), HttpResponse.BodyHandlers.ofString());
	}

	String metrics() throws IOException, InterruptedException {
		URI page = URI.create("http://127.0.0.1:" + this.daemon.adminPort() + "/metrics");
		return send(HttpRequest.newBuilder(page)).body();
	}

	int health(String name) throws IOException, InterruptedException {
		URI page = URI.create("http://127.0.0.1:" + this.daemon.adminPort() + "/health/" + name);
		return send(HttpRequest.newBuilder(page)).statusCode();
	}

	/**
	 * Return the text of an event stream.
	 * @param stream the stream
	 * @return the concatenated contents of all tokens
	 */
	static String tokens(String stream) {
		StringBuilder text = new StringBuilder();
		Matcher content = CONTENT.matcher(stream);
		while (content.find()) {
			text.append(content.group(1));
		}
		return text.toString();
	}

	@Override
	public void close() throws InterruptedException {
		this.daemon.stop(() -> true);
	}

	/** Builds a fixture. */
	static final class Builder {

		private final List<FakeEndpoint> endpoints;

		private String extraSettings = "";

		private boolean resume;

		private boolean deterministic;

		private Function<Settings, Traces> traces = Traces::of;

		private Builder(List<FakeEndpoint> endpoints) {
			this.endpoints = endpoints;
		}

		Builder setting(String line) {
			this.extraSettings += line + "\n";
			return this;
		}

		Builder resumable() {
			this.resume = true;
			return this;
		}

		Builder deterministic() {
			this.deterministic = true;
			return this;
		}

		Builder traces(Function<Settings, Traces> made) {
			this.traces = made;
			return this;
		}

		EntryFixture start() throws IOException {
			String settings = """
					[vm]
					name = entry-1
					data-centre = a
					[inner]
					key = 0123456789abcdef
					[entry]
					listen = 127.0.0.1:0
					admin = 127.0.0.1:0
					stop-delay = 1 ms
					drain-limit = 20 s
					""" + this.extraSettings;
			return new EntryFixture(settings, this.resume, this.deterministic, this.endpoints, this.traces);
		}

	}

}
