package org.acaciacourse.daemon.http;

import java.util.Map;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Counts what a head costs in memory. A header line of a few bytes becomes an entry with
 * two strings, and an entry more in each copy that is made for the endpoint; an item of a
 * list becomes an object when the list is parsed.
 * <p>
 * Not thread safe.
 */
final class HeadCost {

	/** An entry with its strings in 64-bit heaps, and two copies of the entry. */
	private static final int LINE_BYTES = 256;

	/** A string or a record, its place in a list, and a boxed id. */
	private static final int ITEM_BYTES = 96;

	/** The text itself, and what is encoded for an endpoint. */
	private static final int TEXT_FACTOR = 3;

	private static final char ITEM_SEPARATOR = ',';

	private int lines;

	private int items;

	private long text;

	/**
	 * Return the cost of headers that are parsed already.
	 * @param headers the headers
	 * @return the bytes
	 */
	static long of(HttpHeaders headers) {
		HeadCost cost = new HeadCost();
		for (Map.Entry<String, String> header : headers) {
			cost.lines++;
			cost.text += header.getKey().length() + header.getValue().length();
			cost.items += (int) header.getValue().chars().filter((letter) -> letter == ITEM_SEPARATOR).count();
		}
		return cost.bytes();
	}

	void addByte(byte letter) {
		this.text++;
		if (letter == ITEM_SEPARATOR) {
			this.items++;
		}
	}

	void addLine() {
		this.lines++;
	}

	/** The line that follows the last one continues it. */
	void joinLines() {
		this.lines--;
	}

	/**
	 * Return the number of lines so far.
	 * @return the number, the request line among them
	 */
	int lines() {
		return this.lines;
	}

	/**
	 * Return the cost.
	 * @return the bytes
	 */
	long bytes() {
		return (long) LINE_BYTES * this.lines + (long) ITEM_BYTES * this.items + TEXT_FACTOR * this.text;
	}

}
