package org.acaciacourse.core.manifest;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Collections;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

import io.vavr.Lazy;
import net.openhft.hashing.LongHashFunction;

/**
 * The sections of a manifest as text, in canonical order. Documents are replicated,
 * digested and sent as deltas; {@link ManifestParser} parses and validates them.
 * <p>
 * A document made from another one by a delta shares its unchanged sections and their
 * digests, so the cost of a change depends on the size of the change and not on that of
 * the document. Digests are computed on demand: an entry VM that has just started accepts
 * the whole document as sent by the control VM, and the first digest alone would take it
 * 30 to 50 ms, because the code runs for the first time.
 * <p>
 * Immutable and thread safe.
 */
public final class ManifestDocument {

	private static final LongHashFunction XXH3 = LongHashFunction.xx3();

	/** Longer texts, in characters, are hardly ever equal. */
	private static final int MAX_SHARED_LENGTH = 64;

	private static final ManifestDocument EMPTY = new ManifestDocument(Map.of());

	private final SortedMap<String, Section> sections;

	private final Lazy<String> digest;

	private final Lazy<Long> checksum;

	/**
	 * Create a document.
	 * @param sections the keys and values of each section by section name
	 */
	public ManifestDocument(Map<String, ? extends Map<String, String>> sections) {
		this(copy(sections));
	}

	private ManifestDocument(TreeMap<String, Section> sections) {
		this.sections = sections;
		this.digest = Lazy.of(() -> digest(sections));
		this.checksum = Lazy.of(() -> checksum(sections));
	}

	private static TreeMap<String, Section> copy(Map<String, ? extends Map<String, String>> sections) {
		TreeMap<String, Section> copy = new TreeMap<>();
		Map<String, String> texts = new HashMap<>();
		sections.forEach((name, keys) -> copy.put(name, new Section(name, keys, texts)));
		return copy;
	}

	/**
	 * Return the document without sections, the state before the first manifest.
	 * @return the empty document
	 */
	public static ManifestDocument empty() {
		return EMPTY;
	}

	/**
	 * Return the keys and values of each section.
	 * @return the sections by name
	 */
	public SortedMap<String, SortedMap<String, String>> sections() {
		TreeMap<String, SortedMap<String, String>> all = new TreeMap<>();
		this.sections.forEach((name, section) -> all.put(name, section.keys));
		return Collections.unmodifiableSortedMap(all);
	}

	/**
	 * Return the keys and values of a section.
	 * @param name the name of the section
	 * @return the keys and values, if there is such a section
	 */
	public Optional<SortedMap<String, String>> section(String name) {
		return Optional.ofNullable(this.sections.get(name)).map((section) -> section.keys);
	}

	/**
	 * Return whether the document has a section.
	 * @param name the name of the section
	 * @return whether it exists
	 */
	public boolean contains(String name) {
		return this.sections.containsKey(name);
	}

	/**
	 * Return whether both documents have a section with the same content.
	 * @param name the name of the section
	 * @param other the other document
	 * @return whether the section exists in both and is equal
	 */
	public boolean sharesSection(String name, ManifestDocument other) {
		Section section = this.sections.get(name);
		return section != null && section.equals(other.sections.get(name));
	}

	/**
	 * Return the SHA-256 over the SHA-256 of each section's canonical form. Equal
	 * sections have equal digests, regardless of the order and spacing in the file.
	 * @return the digest in lower-case hexadecimal digits
	 */
	public String digest() {
		return this.digest.get();
	}

	/**
	 * Return the XXH3 hash over all sections, which verifies a copy of the document where
	 * computing the digest would take too long. Documents are identified by their
	 * digests, not by this checksum.
	 * @return the checksum
	 */
	public long checksum() {
		return this.checksum.get();
	}

	private static long checksum(SortedMap<String, Section> sections) {
		long sum = sections.size();
		for (Map.Entry<String, Section> section : sections.entrySet()) {
			sum = XXH3.hashLong(sum ^ XXH3.hashChars(section.getKey()));
			for (Map.Entry<String, String> key : section.getValue().keys.entrySet()) {
				sum = XXH3.hashLong(sum ^ XXH3.hashChars(key.getKey()));
				sum = XXH3.hashLong(sum ^ XXH3.hashChars(key.getValue()));
			}
		}
		return sum;
	}

	/**
	 * Compute the delta from this document to another.
	 * @param next the other document
	 * @return the sections that differ
	 */
	public ManifestDelta deltaTo(ManifestDocument next) {
		SortedMap<String, SortedMap<String, String>> changed = new TreeMap<>();
		next.sections.forEach((name, section) -> {
			if (!section.equals(this.sections.get(name))) {
				changed.put(name, section.keys);
			}
		});
		TreeMap<String, Section> removed = new TreeMap<>(this.sections);
		removed.keySet().removeAll(next.sections.keySet());
		return new ManifestDelta(changed, removed.keySet());
	}

	/**
	 * Apply a delta.
	 * @param delta the sections that differ
	 * @return the document after the change
	 */
	public ManifestDocument with(ManifestDelta delta) {
		TreeMap<String, Section> next = new TreeMap<>(this.sections);
		delta.removed().forEach(next::remove);
		Map<String, String> texts = new HashMap<>();
		delta.changed().forEach((name, keys) -> next.put(name, new Section(name, keys, texts)));
		return new ManifestDocument(next);
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof ManifestDocument document && this.sections.equals(document.sections);
	}

	@Override
	public int hashCode() {
		return digest().hashCode();
	}

	@Override
	public String toString() {
		return "ManifestDocument[" + this.sections.size() + " sections, " + digest() + "]";
	}

	private static String digest(SortedMap<String, Section> sections) {
		MessageDigest sha = sha256();
		sections.values().forEach((section) -> sha.update(section.digest.get()));
		return HexFormat.of().formatHex(sha.digest());
	}

	private static MessageDigest sha256() {
		try {
			return MessageDigest.getInstance("SHA-256");
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java platform must support SHA-256", ex);
		}
	}

	/** A section with its digest, computed on demand. */
	private static final class Section {

		private final SortedMap<String, String> keys;

		private final Lazy<byte[]> digest;

		private Section(String name, Map<String, String> keys, Map<String, String> texts) {
			TreeMap<String, String> copy = new TreeMap<>();
			keys.forEach((key, value) -> copy.put(shared(key, texts), shared(value, texts)));
			this.keys = Collections.unmodifiableSortedMap(copy);
			this.digest = Lazy.of(() -> digest(name, this.keys));
		}

		private static byte[] digest(String name, SortedMap<String, String> keys) {
			MessageDigest sha = sha256();
			update(sha, name);
			keys.forEach((key, value) -> {
				update(sha, key);
				update(sha, value);
			});
			return sha.digest();
		}

		private static String shared(String text, Map<String, String> texts) {
			if (text.length() > MAX_SHARED_LENGTH) {
				return text;
			}
			String known = texts.putIfAbsent(text, text);
			return (known != null) ? known : text;
		}

		// Each text is prefixed with its length, so that different sections never have
		// the same byte form.
		private static void update(MessageDigest sha, String text) {
			byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
			for (int shift = 24; shift >= 0; shift -= 8) {
				sha.update((byte) (bytes.length >>> shift));
			}
			sha.update(bytes);
		}

		@Override
		public boolean equals(Object other) {
			return this == other || (other instanceof Section section && this.keys.equals(section.keys));
		}

		@Override
		public int hashCode() {
			return this.keys.hashCode();
		}

	}

}
