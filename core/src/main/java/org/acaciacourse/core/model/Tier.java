package org.acaciacourse.core.model;

import java.util.Arrays;
import java.util.Optional;

/**
 * The service tiers, highest first.
 * <p>
 * Immutable and thread safe.
 */
public enum Tier {

	/** Served first, never shed or preempted in favour of another tier. */
	HIGH("high"),

	/** Served after the high and before the low tier. */
	MIDDLE("middle"),

	/** May wait for hours; has a small guaranteed share of the tokens. */
	LOW("low");

	private final String label;

	Tier(String label) {
		this.label = label;
	}

	/**
	 * Find a tier by its label in a manifest.
	 * @param label the label
	 * @return the tier, if there is one
	 */
	public static Optional<Tier> ofLabel(String label) {
		return Arrays.stream(values()).filter((tier) -> tier.label.equals(label)).findFirst();
	}

	/**
	 * Return the label used in manifests and metrics.
	 * @return the label
	 */
	public String label() {
		return this.label;
	}

	/**
	 * Return whether this tier takes precedence over another.
	 * @param other the other tier
	 * @return whether this tier is strictly higher
	 */
	public boolean outranks(Tier other) {
		return ordinal() < other.ordinal();
	}

	/**
	 * Return the priority that is sent to engines; lower numbers run first.
	 * @return the priority
	 */
	public int enginePriority() {
		return ordinal();
	}

}
