package org.acaciacourse.daemon.telemetry;

import java.util.List;

/**
 * The events of the decision log with the fields of their lines, in their order. The
 * table in {@code docs/OPERATIONS.md} lists the same; a test holds the two together.
 * <p>
 * Immutable and thread safe.
 */
public enum LogEvent {

	/** A routed request ended otherwise than with a whole answer in time. */
	REQUEST_FAILED("request-failed", "request", "code", "why", "run", "route", "pool", "customer", "urgency", "table",
			"fleet", "waited_ms", "took_ms", "left_ms", "attempts", "retry_after_ms", "sent_urgency", "ahead"),

	/** A routed request was answered; one in some hundred is told. */
	REQUEST_ANSWERED("request-answered", "request", "route", "pool", "urgency", "table", "waited_ms", "first_ms",
			"took_ms", "attempts", "sent_urgency", "ahead"),

	/**
	 * An answer came whole, but after its target or with too long a pause: what it waited
	 * for at the entry, until it was sent, until the endpoint answered, its longest
	 * pause, and how many late answers since the line before were not told.
	 */
	REQUEST_LATE("request-late", "request", "route", "pool", "urgency", "table", "endpoint", "waited_ms", "sent_ms",
			"first_ms", "gap_ms", "took_ms", "attempts", "target_ms", "gap_target_ms", "untold", "sent_urgency",
			"ahead"),

	/** A request was refused before any endpoint was looked for. */
	REQUEST_REFUSED("request-refused", "request", "code", "host", "path", "table", "retry_after_ms"),

	/**
	 * A request was refused because its target is out of reach: what the decision went
	 * by, and how many such refusals since the line before were not told.
	 */
	TARGET_REFUSED("target-refused", "request", "waited_ms", "expected_wait_ms", "least_ms", "target_ms", "ahead",
			"running", "healthy", "slots", "mean_ms", "untold"),

	/** Refusals of one cause beyond the rate that is told one by one. */
	REFUSALS_MERGED("refusals-merged", "code", "count", "requests"),

	/** An attempt ended otherwise than with a whole answer. */
	ATTEMPT_ENDED("attempt-ended", "request", "endpoint", "end", "age_ms", "silent_ms", "running", "waiting_work",
			"failure_rate"),

	/**
	 * A request is sent once more, which the retry budget pays for: what is left of the
	 * part of this VM, by how many VMs it divides the budget, how long ago control told
	 * that number, and for how long this process has run.
	 */
	RETRY("retry", "request", "pool", "endpoint", "left", "sharers", "count_age_ms", "running_ms"),

	/** A configuration is in force on this VM. */
	CONFIGURATION("configuration", "table", "pools"),

	/** The list of endpoints changed. */
	FLEET("fleet", "fleet", "endpoints", "leaving", "source"),

	/** Another VM sums the load of this one up, none, or this VM itself. */
	LOAD_RELAY("load-relay", "relay", "before"),

	/** Another number of engines is for the requests whose target is the shortest. */
	DIVISION("division", "pool", "engines", "brief_running", "waiting_work"),

	/** No control VM tells the fleet any more. */
	CONTROL_LOST("control-lost", "silent_ms"),

	/** A control VM tells the fleet again. */
	CONTROL_REGAINED("control-regained", "fleet"),

	/** The program serves. */
	STARTED("started", "address"),

	/** A stop was asked for. */
	STOPPING("stopping", "open"),

	/** The program ends. */
	STOPPED("stopped", "drained"),

	/** The settings were read again. */
	RELOADED("reloaded", "controls"),

	/** An operator handed a configuration in. */
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
	 * An election is undecided: the voters that granted their vote and those that did
	 * not.
	 */
	ELECTION_OPEN("election-open", "term", "granted", "missing"),

	/** This replica requested to join the membership: the result codes it received. */
	JOIN_ASKED("join-asked", "replica", "listed", "asked", "answers"),

	/** The routing policy in force: its name, what is off and which figures differ. */
	ROUTING_POLICY("routing-policy", "policy", "off", "values"),

	/** Lines that were dropped as nobody took them. */
	LINES_DROPPED("lines-dropped", "count");

	private final String label;

	private final List<String> fields;

	LogEvent(String label, String... fields) {
		this.label = label;
		this.fields = List.of(fields);
	}

	/**
	 * Return the name of the event in a line.
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
