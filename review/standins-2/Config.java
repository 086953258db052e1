/** The configuration of the small deployment, as the pages show it. */
final class Config {

	static final String HOST = "ficu95.example";

	static final String KEY = "n2ctnfzs989anu6wsjnb";

	private Config() {
	}

	static String json(long version) {
		return "{\"version\":" + version + ",\"routes\":["
				+ route("digest", "stream", 12_000, 2_000, 2, "draftmind", 1, true, false, 600) + ","
				+ route("synth", "stream", 6_000, 800, 1, "draftmind", 2, true, true, 250) + ","
				+ route("brief", "stream", 12_000, 400, 0, "draftmind", 1, true, false, 150) + ","
				+ route("receipt", "unsafe", 800, 150, 2, "casedesk", 1, false, false, 0) + ","
				+ route("ping", "safe", 800, 150, 2, "casedesk", 2, false, false, 0)
				+ "],\"services\":[{\"name\":\"draftmind\",\"health_path\":\"/health\",\"max_connections\":360,"
				+ "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,\"kv_capacity\":573008,"
				+ "\"kv_token_bytes\":35136,\"link_mbps\":740000.0,\"moves\":true,\"backups\":true,\"stride\":3,"
				+ "\"most\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{\"name\":\"m\"}]}},"
				+ "{\"name\":\"casedesk\",\"health_path\":\"/health\",\"max_connections\":96,\"protocol\":\"h1\","
				+ "\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
				+ "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"hule930\","
				+ "\"api_keys\":[\"" + KEY + "\"],\"priority\":1}]}";
	}

	private static String route(String name, String kind, int timeout, int target, int priority, String service,
			int attempts, boolean affinity, boolean resume, int gap) {
		return "{\"name\":\"r-" + name + "\",\"host\":\"" + HOST + "\",\"path_prefix\":\"/" + name + "/\",\"kind\":\""
				+ kind + "\",\"timeout_ms\":" + timeout + ",\"target_latency_ms\":" + target + ",\"priority\":"
				+ priority + ",\"service\":\"" + service + "\",\"max_attempts\":" + attempts
				+ ",\"allow_anonymous\":false,\"session_affinity\":" + affinity
				+ ((kind.equals("stream")) ? ",\"stream_resume\":" + resume + ",\"target_gap_ms\":" + gap : "") + "}";
	}

}
