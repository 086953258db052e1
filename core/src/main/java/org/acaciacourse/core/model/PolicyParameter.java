package org.acaciacourse.core.model;

import java.util.Arrays;
import java.util.Optional;

import org.acaciacourse.core.ini.Range;

/**
 * The numeric parameters of a policy with default and range.
 * {@code docs/design/dispatch.md} tells what each does and which measurement set its
 * default.
 * <p>
 * Immutable and thread safe.
 */
public enum PolicyParameter {

	/** Share of the tokens that the low tier is given even in a long burst. */
	LOWEST_SHARE("lowest-share", 0.08, 0, 0.5),

	/** How many endpoints with room are compared for a request. */
	CHOICES("choices", 2, 1, 64),

	/** How many high requests an endpoint may hold beyond its slots. */
	OVERCOMMIT("overcommit", 2, 0, 64),

	/** Age in milliseconds from which the last load report is not trusted. */
	STALE_AFTER("stale-after-ms", 2_500, 100, 60_000),

	/** Share of its target that a middle request waits before it preempts. */
	PREEMPT_AFTER("preempt-after", 0.1, 0, 1),

	/** How much slower than its peers an endpoint must be to count as a straggler. */
	STRAGGLER_FACTOR("straggler-factor", 1.6, 1.1, 20),

	/** How many slots of difference in load a cached prefix is worth. */
	PREFIX_BONUS("prefix-bonus", 1, 0, 16),

	/** The most requests that wait on one VM for one endpoint set. */
	MAX_QUEUED("max-queued", 10_000, 1, 1_000_000),

	/** The most attempts for one request. */
	MAX_ATTEMPTS("max-attempts", 5, 1, 20),

	/** Share of the slots that each VM takes as its own: 0 shares all of them. */
	CREDITS("credits", 0, 0, 1),

	/** Share of the slots of an endpoint below which free ones are given out by lot. */
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
	 * Find a parameter by its word in a manifest.
	 * @param label the word
	 * @return the parameter, if there is one
	 */
	public static Optional<PolicyParameter> ofLabel(String label) {
		return Arrays.stream(values()).filter((parameter) -> parameter.label.equals(label)).findFirst();
	}

	/**
	 * Return the word used in manifests.
	 * @return the label
	 */
	public String label() {
		return this.label;
	}

	/**
	 * Return the value of this parameter in a policy.
	 * @param policy the policy
	 * @return the value that the policy gives, or the default
	 */
	public double of(Policy policy) {
		return policy.parameter(this.label, this.defaultValue);
	}

	/**
	 * Return whether a value is within the range.
	 * @param value the value
	 * @return whether it may be used
	 */
	public boolean permits(double value) {
		return this.range.permits(value);
	}

	/**
	 * Return the range as a text for people.
	 * @return the range
	 */
	public String range() {
		return this.range.toString();
	}

}
