package org.acaciacourse.core.model;

import java.util.Arrays;
import java.util.Optional;

import org.acaciacourse.core.ini.Range;

/**
 * The numeric parameters of a policy with their default and range.
 * {@code docs/design/dispatch.md} describes the effect of each and the measurement behind
 * its default.
 * <p>
 * Immutable and thread safe.
 */
public enum PolicyParameter {

	/** Share of the tokens that the low tier receives even during a long burst. */
	LOWEST_SHARE("lowest-share", 0.08, 0, 0.5),

	/** How many endpoints with free capacity are compared for a request. */
	CHOICES("choices", 2, 1, 64),

	/** How many requests of the high tier an endpoint may hold beyond its slots. */
	OVERCOMMIT("overcommit", 2, 0, 64),

	/** Age in milliseconds from which the last load report is considered stale. */
	STALE_AFTER("stale-after-ms", 2_500, 100, 60_000),

	/** Share of its target that a request of the middle tier waits before it preempts. */
	PREEMPT_AFTER("preempt-after", 0.1, 0, 1),

	/** Slowdown relative to its peers from which an endpoint counts as a straggler. */
	STRAGGLER_FACTOR("straggler-factor", 1.6, 1.1, 20),

	/** Difference in load, in slots, that a cached prefix outweighs. */
	PREFIX_BONUS("prefix-bonus", 1, 0, 16),

	/** Maximum number of requests queued on one VM for one endpoint set. */
	MAX_QUEUED("max-queued", 10_000, 1, 1_000_000),

	/** Maximum number of attempts for one request. */
	MAX_ATTEMPTS("max-attempts", 5, 1, 20),

	/** Share of the slots that is divided among the VMs; with 0 all slots are shared. */
	CREDITS("credits", 0, 0, 1),

	/** Share of an endpoint's slots: if fewer are free, VMs draw their part at random. */
	SCARCE("scarce", 1, 0, 1);

	private final String label;

	private final double defaultValue;

	private final Range range;

	PolicyParameter(String label, double defaultValue, double least, double most) {
		this.label = label;
		this.defaultValue = defaultValue;
		this.range = new Range(least, most);
	}

	/**
	 * Find a parameter by its label in a manifest.
	 * @param label the label
	 * @return the parameter, if there is one
	 */
	public static Optional<PolicyParameter> ofLabel(String label) {
		return Arrays.stream(values()).filter((parameter) -> parameter.label.equals(label)).findFirst();
	}

	/**
	 * Return the label used in manifests.
	 * @return the label
	 */
	public String label() {
		return this.label;
	}

	/**
	 * Return the value of this parameter in a policy.
	 * @param policy the policy
	 * @return the value that the policy sets, or the default
	 */
	public double of(Policy policy) {
		return policy.parameter(this.label, this.defaultValue);
	}

	/**
	 * Return whether a value is within the range.
	 * @param value the value
	 * @return whether it is permitted
	 */
	public boolean permits(double value) {
		return this.range.permits(value);
	}

	/**
	 * Return the range as human-readable text.
	 * @return the range
	 */
	public String range() {
		return this.range.toString();
	}

}
