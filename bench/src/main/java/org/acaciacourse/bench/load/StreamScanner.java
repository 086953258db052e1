package org.acaciacourse.bench.load;

/**
 * Finds the events of a streamed answer in its bytes, wherever they are split.
 * <p>
 * Not thread safe.
 */
public final class StreamScanner {

	private static final byte[] DATA = { 'd', 'a', 't', 'a', ':', ' ' };

	private static final int KIND_AT = DATA.length;

	private int column;

	private boolean isData = true;

	private int tokens;

	private boolean ended;

	/**
	 * Take the next bytes.
	 * @param bytes the bytes
	 * @return how many tokens were in them
	 */
	public int scan(byte[] bytes) {
		int before = this.tokens;
		for (byte b : bytes) {
			scan(b);
		}
		return this.tokens - before;
	}

	/**
	 * Return whether the mark of the end was seen.
	 * @return whether the answer is whole
	 */
	public boolean hasEnded() {
		return this.ended;
	}

	/**
	 * Return the number of tokens so far.
	 * @return the number of tokens
	 */
	public int tokens() {
		return this.tokens;
	}

	private void scan(byte b) {
		if (b == '\n') {
			this.column = 0;
			this.isData = true;
			return;
		}
		if (this.column < KIND_AT) {
			this.isData &= b == DATA[this.column];
		}
		else if (this.column == KIND_AT && this.isData) {
			this.tokens += (b == '{') ? 1 : 0;
			this.ended |= b == '[';
		}
		this.column++;
	}

}
