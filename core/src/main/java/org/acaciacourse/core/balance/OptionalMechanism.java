package org.acaciacourse.core.balance;

import java.util.Arrays;
import java.util.Optional;

/**
 * The mechanisms of request routing that are in use only where the settings of a
 * deployment call for them.
 * <p>
 * Immutable and thread safe.
 */
public enum OptionalMechanism {

	/** Customers have fair shares of a pool that is short of capacity. */
	CUSTOMER_SHARES("customer-shares"),

	/** Requests that can't be served before their deadline are refused at once. */
	ADMISSION("admission"),

	/** The choice of an endpoint takes account of how fast each of them works. */
	ENDPOINT_SPEED("endpoint-speed");

	private final String label;

	OptionalMechanism(String label) {
		this.label = label;
	}

	/**
	 * Find a mechanism by its key in a settings file.
	 * @param label the key
	 * @return the mechanism, if there is one
	 */
	public static Optional<OptionalMechanism> ofLabel(String label) {
		return Arrays.stream(values()).filter((mechanism) -> mechanism.label.equals(label)).findFirst();
	}

	/**
	 * Return the name used in settings files, logs and metrics.
	 * @return the label
	 */
	public String label() {
		return this.label;
	}

}
