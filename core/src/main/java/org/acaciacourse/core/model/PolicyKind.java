package org.acaciacourse.core.model;

import java.util.Arrays;
import java.util.Optional;

/**
 * The kinds of policy that a manifest can configure.
 * <p>
 * Immutable and thread safe.
 */
public enum PolicyKind {

	/** Baseline: one queue in order of arrival, endpoints in round-robin order. */
	FIFO("fifo"),

	/**
	 * Baseline: order of arrival, the endpoint with the fewest requests in flight from
	 * this VM.
	 */
	LEAST_IN_FLIGHT("least-in-flight"),

	/** Tiers, fair shares, latency targets and corrected load reports. */
	TIERED("tiered");

	private final String label;

	PolicyKind(String label) {
		this.label = label;
	}

	/**
	 * Find a kind by its label in a manifest.
	 * @param label the label
	 * @return the kind, if there is one
	 */
	public static Optional<PolicyKind> ofLabel(String label) {
		return Arrays.stream(values()).filter((kind) -> kind.label.equals(label)).findFirst();
	}

	/**
	 * Return the label used in manifests and metrics.
	 * @return the label
	 */
	public String label() {
		return this.label;
	}

}
