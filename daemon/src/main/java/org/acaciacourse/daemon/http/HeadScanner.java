package org.acaciacourse.daemon.http;

import io.netty.buffer.ByteBuf;

/**
 * Finds the end of the head of a request and counts what its objects will cost, before
 * any of them is made. Each byte is looked at once, however many reads bring the head. A
 * folded header line is joined with the one before it in the buffer (RFC 9112, section
 * 5.2), as the decoder would copy the value once for each fold.
 * <p>
 * Invariant: until the end is found, the buffer is not read from.
 * <p>
 * Not thread safe: belongs to one connection.
 */
final class HeadScanner {

	private int scanned;

	private int lineLength;

	private boolean afterCarriageReturn;

	private boolean begun;

	private boolean complete;

	private HeadCost cost = new HeadCost();

	/**
	 * Look at the bytes that have arrived since the last call.
	 * @param input begins with the first byte of the head
	 * @return whether the head is complete
	 */
	boolean scan(ByteBuf input) {
		int end = input.writerIndex();
		int index = input.readerIndex() + this.scanned;
		while (index < end && !this.complete) {
			scan(input, index);
			index++;
		}
		this.scanned = index - input.readerIndex();
		return this.complete;
	}

	private void scan(ByteBuf input, int index) {
		byte letter = input.getByte(index);
		if (!this.begun && isControlOrSpace(letter)) {
			return;
		}
		this.begun = true;
		this.cost.addByte(letter);
		if (letter == '\n') {
			endLine();
			return;
		}
		if (this.lineLength == 0 && !this.afterCarriageReturn && isFold(letter)) {
			join(input, index);
		}
		this.lineLength += (this.afterCarriageReturn) ? 1 : 0;
		this.afterCarriageReturn = letter == '\r';
		this.lineLength += (this.afterCarriageReturn) ? 0 : 1;
	}

	private void endLine() {
		this.complete = this.lineLength == 0;
		this.cost.addLine();
		this.lineLength = 0;
		this.afterCarriageReturn = false;
	}

	// The line after the request line has no header line to continue.
	private boolean isFold(byte letter) {
		return (letter == ' ' || letter == '\t') && this.cost.lines() > 1;
	}

	private void join(ByteBuf input, int index) {
		input.setByte(index - 1, ' ');
		if (input.getByte(index - 2) == '\r') {
			input.setByte(index - 2, ' ');
		}
		this.cost.joinLines();
	}

	// What the decoder skips before a request line.
	private static boolean isControlOrSpace(byte letter) {
		return letter >= 0 && letter <= ' ' || letter == 0x7F;
	}

	/**
	 * Return whether a byte of the request line has arrived.
	 * @return whether anything but control characters and spaces was seen
	 */
	boolean hasBegun() {
		return this.begun;
	}

	/**
	 * Return what the objects of the head will cost.
	 * @return the bytes
	 */
	long cost() {
		return this.cost.bytes();
	}

	/** Begin with the next head. */
	void reset() {
		this.scanned = 0;
		this.lineLength = 0;
		this.afterCarriageReturn = false;
		this.begun = false;
		this.complete = false;
		this.cost = new HeadCost();
	}

}
