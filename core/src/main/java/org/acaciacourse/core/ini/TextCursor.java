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

	private int at;

	/**
	 * Begin to read.
	 * @param text the text
	 */
	public TextCursor(String text) {
		this.text = text;
	}

	/**
	 * Pass over digits.
	 * @param most the most digits that are passed over
	 * @return the digits, empty if there are none here
	 */
	public String digits(int most) {
		int begin = this.at;
		while (this.at < this.text.length() && this.at - begin < most && isDigit(this.text.charAt(this.at))) {
			this.at++;
		}
		return this.text.substring(begin, this.at);
	}

	private static boolean isDigit(char c) {
		return c >= '0' && c <= '9';
	}

	/**
	 * Pass over one of some characters.
	 * @param any the characters
	 * @return whether one of them was here
	 */
	public boolean pass(String any) {
		boolean here = this.at < this.text.length() && any.indexOf(this.text.charAt(this.at)) >= 0;
		this.at += (here) ? 1 : 0;
		return here;
	}

	/**
	 * Pass over all blanks.
	 */
	public void passBlanks() {
		while (this.at < this.text.length() && Character.isWhitespace(this.text.charAt(this.at))) {
			this.at++;
		}
	}

	/**
	 * Return what is left.
	 * @return the rest of the text
	 */
	public String rest() {
		return this.text.substring(this.at);
	}

}
