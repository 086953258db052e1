package org.acaciacourse.core.ini;

/**
 * The permitted values of a number in a settings file or a manifest.
 * <p>
 * Immutable and thread safe.
 *
 * @param min the smallest permitted value
 * @param max the greatest permitted value
 */
public record Range(double min, double max) {

	public Range {
		if (!(min <= max)) {
			throw new IllegalArgumentException("min must not be greater than max");
		}
	}

	/**
	 * Return whether a value is within the range.
	 * @param value the value
	 * @return whether it is permitted, false for NaN
	 */
	public boolean permits(double value) {
		return value >= this.min && value <= this.max;
	}

	/**
	 * Return the range as human-readable text.
	 * @return the text
	 */
	@Override
	public String toString() {
		return "from " + this.min + " to " + this.max;
	}

}
