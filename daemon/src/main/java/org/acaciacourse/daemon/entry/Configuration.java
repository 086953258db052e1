package org.acaciacourse.daemon.entry;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;

import org.acaciacourse.core.model.Customer;
import org.acaciacourse.core.model.Manifest;

/**
 * A manifest with an index of customers by the digest of their key, and the epoch of the
 * policy.
 * <p>
 * Immutable and thread safe.
 *
 * @param manifest the manifest
 * @param epoch the number of the manifest that activated the current policy, as far as
 * this VM has seen it
 * @param customersByDigest the customers by the SHA-256 of each of their keys
 */
record Configuration(Manifest manifest, long epoch, Map<String, Customer> customersByDigest) {

	static Configuration of(Manifest manifest, Optional<Configuration> previous) {
		Map<String, Customer> index = new HashMap<>();
		manifest.customers().values().forEach((c) -> c.keyDigests().forEach((digest) -> index.put(digest, c)));
		long epoch = previous.filter((p) -> p.manifest.policySelection().equals(manifest.policySelection()))
			.map(Configuration::epoch)
			.orElse(manifest.number());
		return new Configuration(manifest, epoch, Map.copyOf(index));
	}

	/**
	 * Return the customer of a key.
	 * @param key the key as sent by the caller
	 * @return the customer, if the key is known
	 */
	Optional<Customer> customerOfKey(String key) {
		byte[] digest = sha256().digest(key.getBytes(StandardCharsets.UTF_8));
		return Optional.ofNullable(this.customersByDigest.get(HexFormat.of().formatHex(digest)));
	}

	static MessageDigest sha256() {
		try {
			return MessageDigest.getInstance("SHA-256");
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is not available, though every Java platform must provide it", ex);
		}
	}

}
