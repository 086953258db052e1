package org.acaciacourse.daemon.route;

import java.util.Arrays;

import io.netty.handler.codec.http.HttpMethod;
import net.openhft.hashing.LongHashFunction;

/**
 * The latest requests that a connection has carried, by which a late response to one of
 * them is recognized. Invariant: only the latest {@value #MAX_REMEMBERED} are remembered,
 * by hashes of their ids, whatever the length of the ids. If hashes collide, an unknown
 * request counts as a carried one.
 * <p>
 * Not thread safe: belongs to the event loop of the connection.
 */
final class CarriedRequests {

	/** Covers more requests than are sent while a late response is under way. */
	static final int MAX_REMEMBERED = 64;

	private static final LongHashFunction HASH = LongHashFunction.xx3();

	/** A ring; the value for a request with HEAD is the complement of the hash. */
	private final long[] hashes = new long[MAX_REMEMBERED];

	private int count;

	/**
	 * Add a request that the connection is about to carry.
	 * @param id its id
	 * @param method its method
	 */
	void add(String id, HttpMethod method) {
		long hash = HASH.hashChars(id);
		this.hashes[this.count % MAX_REMEMBERED] = (method.equals(HttpMethod.HEAD)) ? ~hash : hash;
		this.count++;
	}

	/**
	 * Return how many requests the connection has carried, those included that are not
	 * remembered.
	 * @return the number
	 */
	int count() {
		return this.count;
	}

	/**
	 * Return whether a request is remembered.
	 * @param id its id
	 * @return whether the connection has carried one with that id
	 */
	boolean contains(String id) {
		long hash = HASH.hashChars(id);
		return remembers(hash) || remembers(~hash);
	}

	/**
	 * Return whether a request is remembered to which a repeated response can be read. A
	 * repeated response to HEAD has a length and no body.
	 * @param id its id
	 * @return whether the connection has carried one with that id, other than with HEAD
	 */
	boolean isReadable(String id) {
		return remembers(HASH.hashChars(id));
	}

	private boolean remembers(long value) {
		return Arrays.stream(this.hashes, 0, Math.min(this.count, MAX_REMEMBERED)).anyMatch((one) -> one == value);
	}

}
