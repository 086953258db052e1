package org.acaciacourse.daemon.inner;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

/**
 * A secret key known to both ends of an internal connection. It is sent in clear text, so
 * internal connections must run over loopback or a network that only the VMs of the
 * system can reach.
 * <p>
 * Immutable and thread safe. The key is never printed.
 */
public final class SharedKey {

	private final String key;

	/**
	 * Create a key.
	 * @param key the text of the key
	 */
	public SharedKey(String key) {
		this.key = key;
	}

	/**
	 * Return the text that is sent with a call.
	 * @return the key
	 */
	public String text() {
		return this.key;
	}

	/**
	 * Compare in constant time, so that the duration does not reveal how much of a guess
	 * is right.
	 * @param offered the key received with a call, or {@code null}
	 * @return whether it is this key
	 */
	public boolean matches(String offered) {
		if (offered == null) {
			return false;
		}
		return MessageDigest.isEqual(this.key.getBytes(StandardCharsets.UTF_8),
				offered.getBytes(StandardCharsets.UTF_8));
	}

	@Override
	public String toString() {
		return "shared key";
	}

}
