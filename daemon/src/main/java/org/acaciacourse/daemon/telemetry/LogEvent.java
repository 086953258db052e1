package org.acaciacourse.daemon.telemetry;

import java.util.List;

/**
 * The events of the decision log with the fields of their lines, in the order in which
 * they are written. A test checks that the table in {@code docs/OPERATIONS.md} lists the
 * same events and fields.
 * <p>
 * Immutable and thread safe.
 */
public enum LogEvent {

	/** A routed request ended without a complete response in time. */
	REQUEST_FAILED("request-failed", "request", "code", "why", "run", "route", "pool", "customer", "urgency", "table",
			"fleet", "waited_ms", "took_ms", "left_ms", "attempts", "retry_after_ms", "sent_urgency", "ahead"),

	/** A routed request was answered; only one in some hundred requests is logged. */
	REQUEST_ANSWERED("request-answered", "request", "route", "pool", "urgency", "table", "waited_ms", "first_ms",
			"took_ms", "attempts", "sent_urgency", "ahead"),

	/**
	 * A response was complete, but missed its target or had too long a gap between
	 * events: the times it waited at the entry VM, until it was sent and until the
	 * endpoint responded, its longest gap, and how many late responses since the previous
	 * line were not logged.
	 */
	REQUEST_LATE("request-late", "request", "route", "pool", "urgency", "table", "endpoint", "waited_ms", "sent_ms",
			"first_ms", "gap_ms", "took_ms", "attempts", "target_ms", "gap_target_ms", "untold", "sent_urgency",
			"ahead"),

	/** A request was refused before an endpoint was selected. */
	REQUEST_REFUSED("request-refused", "request", "code", "host", "path", "table", "retry_after_ms"),

	/**
	 * Reading from an endpoint is paused as the caller does not read and the memory
	 * budget is used up: the bytes that wait for the caller, how many responses wait, the
	 * bytes of the budget that are used, all of them, and how many such lines were not
	 * logged.
	 */
	READING_PAUSED("reading-paused", "request", "unread", "responses", "used", "limit", "untold"),

	/**
	 * A response was ended as its caller did not read it: why, the bytes that waited, for
	 * how long the caller had taken nothing, and the budget without it.
	 */
	RESPONSE_UNREAD("response-unread", "request", "why", "unread", "idle_ms", "used", "limit", "untold"),

	/**
	 * The memory budget has no room for a request: the bytes asked for, how many larger
	 * requests were refused to make room, the bytes of all requests and of all uses, the
	 * budget, and how many such lines were not logged.
	 */
	REQUEST_WITHOUT_MEMORY("request-without-memory", "bytes", "refused", "requests", "used", "limit", "untold"),

	/**
	 * A request was refused because its target cannot be met: the values that the
	 * decision was based on, and how many such refusals since the previous line were not
	 * logged.
	 */
	TARGET_REFUSED("target-refused", "request", "waited_ms", "expected_wait_ms", "least_ms", "target_ms", "ahead",
			"running", "healthy", "slots", "mean_ms", "untold"),

	/**
	 * A routed request that its endpoint would serve too late was refused, or sent in
	 * spite of that: the reason, the endpoint, the estimated time to its first event or
	 * plain answer there, the time within which it is very likely to be complete, the
	 * time that its caller still waits, the factor for the error of the estimate, the
	 * prompt tokens until the first event, the requests and slots at the endpoints that
	 * it may use, and how many such lines since the previous one were not logged.
	 */
	ADMISSION("admission", "request", "reason", "pool", "urgency", "endpoint", "estimate_ms", "needed_ms", "left_ms",
			"margin", "work", "running", "slots", "retry_after_ms", "untold"),

	/**
	 * Refusals with the same code beyond the rate at which they are logged individually.
	 */
	REFUSALS_MERGED("refusals-merged", "code", "count", "requests"),

	/**
	 * An attempt ended without a complete response: among others the latest status that
	 * was received, the id in that response if it is not that of the request, and how
	 * many requests its connection had carried before.
	 */
	ATTEMPT_ENDED("attempt-ended", "request", "endpoint", "via", "end", "age_ms", "silent_ms", "running",
			"waiting_work", "failure_rate", "content", "parts", "answering_ms", "version", "status", "response_to",
			"carried"),

	/**
	 * A late response to an earlier request on the same connection was discarded, by the
	 * id in it; the response to the request in flight is still waited for.
	 */
	RESPONSE_DISCARDED("response-discarded", "request", "endpoint", "response_to", "status"),

	/**
	 * A request is retried, which is charged to the retry budget: what is left of this
	 * VM's share, the number of VMs that share the budget, the age of that number since a
	 * control VM reported it, the uptime of this process, and the time since the request
	 * was read.
	 */
	RETRY("retry", "request", "pool", "endpoint", "left", "sharers", "count_age_ms", "running_ms", "age_ms"),

	/**
	 * A stream of which the caller has a part is sent to an endpoint that shall go on
	 * with it: the request that brought its first event if that is another one, the last
	 * event of the caller, the endpoint and the version of its software, and the one that
	 * began the stream as far as it is known here.
	 */
	STREAM_RESUMED("stream-resumed", "request", "resumes", "last_event", "pool", "endpoint", "version", "from_version"),

	/**
	 * A caller takes a stream up: by which request it began, how its origin was found
	 * here (known, told by another VM when asked, derived from the only version of the
	 * pool, or not at all), the pool and the version that it is bound to, and the time
	 * since the request was read; how many VMs were asked and how many answered, how long
	 * ago the list of endpoints was read, and for how long it has been known.
	 */
	STREAM_ORIGIN("stream-origin", "request", "resumes", "source", "pool", "version", "age_ms", "asked", "answered",
			"list_age_ms", "list_known_ms"),

	/**
	 * The event loop did not run for a while: what it reads now may have been sent during
	 * that time.
	 */
	LOOP_STALLED("loop-stalled", "late_ms"),

	/**
	 * An endpoint can't be reached from this VM, directly or through another entry VM:
	 * the sign, how many endpoints can't be reached now out of those that were, and how
	 * many such lines were not logged.
	 */
	LINK_LOST("link-lost", "endpoint", "via", "sign", "lost", "known", "untold"),

	/** An endpoint can be reached from this VM again. */
	LINK_REGAINED("link-regained", "endpoint", "via", "lost_ms", "untold"),

	/**
	 * Several endpoints were lost together: the links of this VM are checked before they
	 * are used again.
	 */
	LINKS_DOUBTED("links-doubted", "via", "lost", "known"),

	/**
	 * An endpoint crashed while requests of this VM were there: their number, how many of
	 * them had no answer that had been in progress for some time, the time since the
	 * latest of them was sent, the contents of the latest ones, and the shared parts of
	 * those without such an answer.
	 */
	ENDPOINT_CRASHED("endpoint-crashed", "endpoint", "pool", "requests", "unanswered", "youngest_ms", "contents",
			"parts"),

	/**
	 * Requests with a feature, a content or a part of their prompts, are refused from now
	 * on, as it has crashed so many endpoints as are known here; and who decided: this
	 * VM, another entry or control.
	 */
	FEATURE_BLOCKED("feature-blocked", "feature", "crashes", "source"),

	/** A configuration became active on this VM. */
	CONFIGURATION("configuration", "table", "pools"),

	/**
	 * The list of endpoints changed: its revision, how many endpoints it has and how many
	 * of them are leaving, who reported it, and how many endpoints of each version the
	 * pools have that are of several versions.
	 */
	FLEET("fleet", "fleet", "endpoints", "leaving", "source", "versions"),

	/**
	 * The relay that aggregates the load of this VM changed: another VM, none, or this VM
	 * itself.
	 */
	LOAD_RELAY("load-relay", "relay", "before"),

	/**
	 * The number of engines reserved for the requests with the shortest target changed.
	 */
	DIVISION("division", "pool", "engines", "brief_running", "waiting_work"),

	/**
	 * A shortage of a pool began or ended, in which customers are kept to their shares,
	 * or the first of them exceeded its share or the last no longer does: the fair share
	 * of a customer and what is divided, in tokens of recent work, how many customers
	 * have any, how many of them are over their share, and how many requests of this VM
	 * were over share since its start.
	 */
	CUSTOMER_SHARES("customer-shares", "pool", "short", "share", "capacity", "customers", "over", "requests"),

	/**
	 * The number of refusals within a second after which an endpoint of the pool fails; 0
	 * once no endpoint states one any longer.
	 */
	REFUSAL_LIMIT("refusal-limit", "pool", "per_second"),

	/**
	 * An endpoint states how many requests per second it takes from all VMs together: the
	 * limit, empty once it does not apply any longer, the share of this VM, and how many
	 * requests this VM has sent to it since it first did.
	 */
	RATE_LIMIT("rate-limit", "endpoint", "per_second", "share", "sent"),

	/**
	 * An endpoint refused a request and asked this VM to send nothing for a while: the
	 * request, the entry VM that it was sent through, the time asked for, what was left
	 * of the time that the endpoint had asked for before, and how many requests of this
	 * VM are there. Without a request if another entry VM read the response, which passed
	 * this one.
	 */
	ENDPOINT_REST("endpoint-rest", "endpoint", "pool", "request", "via", "rest_ms", "left_ms", "in_flight"),

	/**
	 * An endpoint stated for the first time that it is leaving: the request that it
	 * responded to, the entry VM that the request was sent through, and how many requests
	 * of this VM are there.
	 */
	ENDPOINT_LEAVING("endpoint-leaving", "endpoint", "pool", "request", "via", "in_flight"),

	/**
	 * An endpoint has started again under the id that it had, at a time in Unix
	 * milliseconds: all that was kept of its earlier run ends. Without the time, it was
	 * noticed by an answer after the loss of all connections, before the list told of it.
	 */
	ENDPOINT_STARTED("endpoint-started", "endpoint", "born"),

	/**
	 * The choice of an endpoint in a pool takes account of how fast each one works, or no
	 * longer does, and whether endpoints state how long work takes on their machines.
	 */
	ENDPOINT_SPEED("endpoint-speed", "pool", "in_use", "pace_stated"),

	/** No control VM reports the fleet any longer. */
	CONTROL_LOST("control-lost", "silent_ms"),

	/** A control VM reports the fleet again. */
	CONTROL_REGAINED("control-regained", "fleet"),

	/** The process has started to serve. */
	STARTED("started", "address"),

	/** A stop was requested. */
	STOPPING("stopping", "open"),

	/** The process is about to exit. */
	STOPPED("stopped", "drained"),

	/** The settings were reloaded. */
	RELOADED("reloaded", "controls"),

	/** An operator submitted a configuration. */
	CONFIGURATION_PUT("configuration-put", "table", "code", "took_ms"),

	/** The role, the term or the leader of this replica changed. */
	LEADER("leader", "role", "term", "leader"),

	/** The members of the replicated log, written at startup and on each change. */
	MEMBERS("members", "members"),

	/**
	 * The leader proposed a membership change: its kind, the member, and how long that
	 * member had been out of contact if it is a voter.
	 */
	MEMBER_CHANGE("member-change", "change", "vm", "replica", "voter", "absent_ms", "term"),

	/**
	 * An election is undecided: the voters that have granted their vote and those that
	 * have not.
	 */
	ELECTION_OPEN("election-open", "term", "granted", "missing"),

	/**
	 * This replica requested to join the membership, with the result codes that it
	 * received.
	 */
	JOIN_ASKED("join-asked", "replica", "listed", "asked", "answers"),

	/**
	 * The lease of a duty was acquired, has ended, was released at a stop or given up in
	 * favour of another VM: the duty, what happened and the fencing number.
	 */
	DUTY_HOLDER("duty-holder", "duty", "state", "number"),

	/**
	 * A call to the platform ended: the duty, what it was about (the window of a usage
	 * report), the fencing number, the answer, the time it took, and how late it was if
	 * it was due before.
	 */
	DUTY_CALL("duty-call", "duty", "subject", "number", "answer", "took_ms", "late_ms"),

	/**
	 * The number of endpoints that are to be ordered for a pool has changed with the
	 * demand: the numbers by data centre, the highest need within half a minute, and
	 * whether all live entry VMs have told their demand.
	 */
	ENDPOINTS_PLANNED("endpoints-planned", "pool", "endpoints", "need", "complete"),

	/**
	 * The usage of a window is about to be fixed: the window, the requests, the customers
	 * that they are of, whether all live entry VMs have told their counts, and the time
	 * since the end of the window.
	 */
	USAGE_FIXED("usage-fixed", "window", "requests", "customers", "complete", "after_ms"),

	/**
	 * The active routing policy: its name, the mechanisms that are off, the values that
	 * differ from the defaults and the optional mechanisms that it switches.
	 */
	ROUTING_POLICY("routing-policy", "policy", "off", "values", "optional"),

	/** Log lines were dropped because the output did not accept them in time. */
	LINES_DROPPED("lines-dropped", "count");

	private final String label;

	private final List<String> fields;

	LogEvent(String label, String... fields) {
		this.label = label;
		this.fields = List.of(fields);
	}

	/**
	 * Return the name of the event as it is logged.
	 * @return the label
	 */
	public String label() {
		return this.label;
	}

	/**
	 * Return the names of the fields.
	 * @return the fields in their order
	 */
	public List<String> fields() {
		return this.fields;
	}

}
