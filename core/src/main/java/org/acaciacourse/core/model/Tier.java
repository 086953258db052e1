package org.acaciacourse.core.model;

import java.util.Arrays;
import java.util.Optional;

/**
 * The service tiers, highest first.
 * <p>
 * Immutable and thread safe.
 */
public enum Tier {

	/** Answered first, never shed or preempted for another tier. */
	HIGH("high"),

	/** Between the two. */
	MIDDLE("middle"),

	/** May wait for hours; holds a guaranteed small share of the tokens. */
	LOW("low");

	private final String label;

	Tier(String label) {
		this.label = label;
	}

	/**
	 * Find a tier by its word in a manifest.
	 * @param label the word
	 * @return the tier, if there is one
	 */
	public static Optional<Tier> ofLabel(String label) {
		return Arrays.stream(values()).filter((tier) -> tier.label.equals(label)).findFirst();
	}

	/**
	 * Return the word used in manifests and metrics.
	 * @return the label
	 */
	public String label() {
		return this.label;
	}

	/**
	 * Return whether this tier goes before another.
	 * @param other the other tier
	 * @return whether this tier is strictly higher
	 */
	public boolean outranks(Tier other) {
		return ordinal() < other.ordinal();
	}

	/**
	 * Return the priority handed to an engine; a smaller number runs first.
	 * @return the engine priority
	 */
	public int enginePriority() {
		return ordinal();
	}

}
