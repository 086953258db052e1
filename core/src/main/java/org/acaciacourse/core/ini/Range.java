package org.acaciacourse.core.ini;

/**
 * The values that a number in a settings file or a manifest may have.
 * <p>
 * Immutable and thread safe.
 *
 * @param least the least permitted value
 * @param most the greatest permitted value
 */
public record Range(double least, double most) {

	public Range {
		if (!(least <= most)) {
			throw new IllegalArgumentException("a range begins before it ends");
		}
	}

	/**
	 * Return whether a value is within the range.
	 * @param value the value
	 * @return whether it may be used; never for one that is no number
	 */
	public boolean permits(double value) {
		return value >= this.least && value <= this.most;
	}

	/**
	 * Return the range as a text for people.
	 * @return the text
	 */
	@Override
	public String toString() {
		return "from " + this.least + " to " + this.most;
	}

}
