package org.acaciacourse.core.manifest;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Collections;
import java.util.HexFormat;
import java.util.Map;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The sections of a manifest as text, in canonical order. This is what is replicated,
 * digested and sent as deltas; {@link ManifestParser} turns it into a checked manifest.
 * <p>
 * Immutable and thread safe.
 *
 * @param sections the keys and values of each section by section name
 */
public record ManifestDocument(SortedMap<String, SortedMap<String, String>> sections) {

	public ManifestDocument {
		SortedMap<String, SortedMap<String, String>> copy = new TreeMap<>();
		sections.forEach((name, keys) -> copy.put(name, Collections.unmodifiableSortedMap(new TreeMap<>(keys))));
		sections = Collections.unmodifiableSortedMap(copy);
	}

	/**
	 * Return SHA-256 over the canonical form: equal sections give equal digests, whatever
	 * the order and spacing of the file was.
	 * @return the digest in lower-case hexadecimal digits
	 */
	public String digest() {
		MessageDigest sha = sha256();
		this.sections.forEach((name, keys) -> {
			update(sha, '[', name);
			keys.forEach((key, value) -> {
				update(sha, 'k', key);
				update(sha, 'v', value);
			});
		});
		return HexFormat.of().formatHex(sha.digest());
	}

	/**
	 * Work out what turns this document into another.
	 * @param next the other document
	 * @return the sections that differ
	 */
	public ManifestDelta deltaTo(ManifestDocument next) {
		SortedMap<String, SortedMap<String, String>> changed = new TreeMap<>();
		next.sections.forEach((name, keys) -> {
			if (!Objects.equals(this.sections.get(name), keys)) {
				changed.put(name, keys);
			}
		});
		TreeMap<String, SortedMap<String, String>> removed = new TreeMap<>(this.sections);
		removed.keySet().removeAll(next.sections.keySet());
		return new ManifestDelta(changed, removed.keySet());
	}

	/**
	 * Apply a delta.
	 * @param delta the sections that differ
	 * @return the document after the change
	 */
	public ManifestDocument with(ManifestDelta delta) {
		SortedMap<String, SortedMap<String, String>> next = new TreeMap<>(this.sections);
		next.keySet().removeAll(delta.removed());
		next.putAll(delta.changed());
		return new ManifestDocument(next);
	}

	/**
	 * Return a document without sections, which precedes every manifest.
	 * @return the empty document
	 */
	public static ManifestDocument empty() {
		return new ManifestDocument(new TreeMap<>(Map.of()));
	}

	private static void update(MessageDigest sha, char mark, String text) {
		byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
		sha.update((byte) mark);
		for (int shift = 24; shift >= 0; shift -= 8) {
			sha.update((byte) (bytes.length >>> shift));
		}
		sha.update(bytes);
	}

	private static MessageDigest sha256() {
		try {
			return MessageDigest.getInstance("SHA-256");
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java platform has SHA-256", ex);
		}
	}

}
