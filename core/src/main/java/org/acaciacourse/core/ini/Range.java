package org.acaciacourse.core.ini;

/**
 * The values that a number in a settings file or a manifest may have.
 * <p>
 * Immutable and thread safe.
 *
 * @param min the least permitted value
 * @param max the greatest permitted value
 */
public record Range(double min, double max) {

	public Range {
		if (!(min <= max)) {
			throw new IllegalArgumentException("a range begins before it ends");
		}
	}

	/**
	 * Return whether a value is within the range.
	 * @param value the value
	 * @return whether it may be used; never for one that is no number
	 */
	public boolean permits(double value) {
		return value >= this.min && value <= this.max;
	}

	/**
	 * Return the range as a text for people.
	 * @return the text
	 */
	@Override
	public String toString() {
		return "from " + this.min + " to " + this.max;
	}

}
