package org.acaciacourse.core.settings;

import java.util.Arrays;
import java.util.Optional;

/**
 * All settings with section, key, type, default and description. A test checks that
 * {@code docs/OPERATORS.md} lists the same settings.
 * <p>
 * Immutable and thread safe.
 */
public enum SettingKey {

	/** Name of the VM. */
	VM_NAME("vm", "name", SettingType.TEXT, null, "unique name of the VM"),

	/** Data centre of the VM. */
	VM_DATA_CENTRE("vm", "data-centre", SettingType.TEXT, null, "data centre it stands in"),

	/** Shared key of the internal connections. */
	INNER_KEY("inner", "key", SettingType.SECRET, null, "shared key of the inner connections, 16 characters or more"),

	/** Address of the HTTP server for callers. */
	ENTRY_LISTEN("entry", "listen", SettingType.ADDRESS, "127.0.0.1:8080", "address for callers"),

	/** Address of the health checks and metrics of an entry VM. */
	ENTRY_ADMIN("entry", "admin", SettingType.ADDRESS, "127.0.0.1:8081", "address for health and metrics"),

	/** Addresses of the control VMs. */
	ENTRY_CONTROLS("entry", "controls", SettingType.ADDRESS_LIST, "127.0.0.1:8090", "addresses of the control VMs"),

	/** Number of entry VMs that share the limits of customers. */
	ENTRY_PEERS("entry", "peers", SettingType.COUNT, "1",
			"entry VMs that share a customer's limits until control tells"),

	/** Maximum size of a request body. */
	ENTRY_MAX_BODY("entry", "max-body", SettingType.BYTES, "8 MiB", "largest body of a request"),

	/** Maximum number of connections of callers. */
	ENTRY_MAX_CONNECTIONS("entry", "max-connections", SettingType.COUNT, "4096", "most connections of callers"),

	/** Time limit for receiving a request. */
	ENTRY_READ_TIMEOUT("entry", "read-timeout", SettingType.DURATION, "20 s",
			"time in which a request has to be received"),

	/** Delay between reporting not ready and closing the listener. */
	ENTRY_STOP_DELAY("entry", "stop-delay", SettingType.DURATION, "2 s",
			"time between not ready and no new connections"),

	/** Time limit for draining requests in flight. */
	ENTRY_DRAIN_LIMIT("entry", "drain-limit", SettingType.DURATION, "10 min",
			"longest time for requests in flight on a stop"),

	/** PEM certificate chain for connections of callers. */
	ENTRY_TLS_CERTIFICATE("entry", "tls-certificate", SettingType.PATH, "",
			"PEM certificate chain, empty for plain text"),

	/** PEM private key for connections of callers. */
	ENTRY_TLS_KEY("entry", "tls-key", SettingType.PATH, "", "PEM private key of the certificate"),

	/** Address of the internal server of a control VM. */
	CONTROL_LISTEN("control", "listen", SettingType.ADDRESS, "127.0.0.1:8090", "address of the inner server"),

	/** Address of the health checks and metrics of a control VM. */
	CONTROL_ADMIN("control", "admin", SettingType.ADDRESS, "127.0.0.1:8091", "address for health and metrics"),

	/** Data folder. */
	CONTROL_DATA("control", "data", SettingType.PATH, null, "data folder"),

	/** Initial members of the replicated log. */
	CONTROL_INITIAL("control", "initial", SettingType.ADDRESS_LIST, null,
			"addresses of the control VMs that found the log, the same on each"),

	/** Key of the operators. */
	CONTROL_OPERATOR_KEY("control", "operator-key", SettingType.SECRET, null, "key of the operators"),

	/** Source of the platform's list of VMs and endpoints. */
	CONTROL_PLATFORM_LIST("control", "platform-list", SettingType.TEXT, "",
			"file or http address of the platform's list of VMs and endpoints, empty for none"),

	/** Whether engines are ordered to load models. */
	CONTROL_ORDERS("control", "orders", SettingType.FLAG, "true",
			"whether engines are ordered to load the models of their endpoint set"),

	/** Exporter of traces. */
	TRACES_EXPORTER("traces", "exporter", SettingType.TEXT, "none", "otlp, log or none"),

	/** Address of the OTLP receiver. */
	TRACES_ENDPOINT("traces", "endpoint", SettingType.TEXT, "http://127.0.0.1:4318/v1/traces",
			"address of the OTLP receiver");

	private final String section;

	private final String key;

	private final SettingType type;

	private final String defaultText;

	private final String description;

	SettingKey(String section, String key, SettingType type, String defaultText, String description) {
		this.section = section;
		this.key = key;
		this.type = type;
		this.defaultText = defaultText;
		this.description = description;
	}

	/**
	 * Find a setting.
	 * @param section the section
	 * @param key the key
	 * @return the setting, if there is one
	 */
	public static Optional<SettingKey> of(String section, String key) {
		return Arrays.stream(values())
			.filter((setting) -> setting.section.equals(section) && setting.key.equals(key))
			.findFirst();
	}

	/**
	 * Return the section.
	 * @return the section
	 */
	public String section() {
		return this.section;
	}

	/**
	 * Return the key in its section.
	 * @return the key
	 */
	public String key() {
		return this.key;
	}

	/**
	 * Return the type.
	 * @return the type, which validates values
	 */
	public SettingType type() {
		return this.type;
	}

	/**
	 * Return the default as it is written in a file.
	 * @return the default, empty if the setting is required where its section is used
	 */
	public Optional<String> defaultText() {
		return Optional.ofNullable(this.defaultText);
	}

	/**
	 * Return the description for operators.
	 * @return the description
	 */
	public String description() {
		return this.description;
	}

}
