package org.acaciacourse.daemon.inner;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

/**
 * A key that both ends of a connection know. It crosses the connection as it is, so the
 * inner connections belong on loopback or on a network that only the system's VMs reach.
 * <p>
 * Immutable and thread safe. The key is never printed.
 */
public final class SharedKey {

	private final String key;

	/**
	 * Make a key.
	 * @param key the text of the key
	 */
	public SharedKey(String key) {
		this.key = key;
	}

	/**
	 * Return the text that goes with a call.
	 * @return the key
	 */
	public String text() {
		return this.key;
	}

	/**
	 * Compare in a time that tells nothing of how much of a guess is right.
	 * @param offered the key that came with a call, or {@code null}
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
