package org.acaciacourse.core.usage;

/**
 * The windows for which usage is reported. Window k begins k times the length after the
 * start of 1970.
 * <p>
 * Immutable and thread safe.
 *
 * @param lengthMillis the length of a window in milliseconds
 */
public record UsageWindows(long lengthMillis) {

	public UsageWindows {
		if (lengthMillis <= 0) {
			throw new IllegalArgumentException("length of a usage window must be positive: " + lengthMillis + " ms");
		}
	}

	/**
	 * Return the window of a time.
	 * @param timeMillis milliseconds since the epoch
	 * @return the number of the window
	 */
	public long windowAt(long timeMillis) {
		return Math.floorDiv(timeMillis, this.lengthMillis);
	}

	/**
	 * Return the end of a window.
	 * @param window its number
	 * @return milliseconds since the epoch, the first that are not in the window
	 */
	public long end(long window) {
		return (window + 1) * this.lengthMillis;
	}

}
