package org.acaciacourse.daemon.codec;

import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

import org.acaciacourse.core.manifest.ManifestDelta;
import org.acaciacourse.core.manifest.ManifestDocument;
import org.acaciacourse.protocol.generated.DeltaRecord;

/**
 * Converts manifest documents and deltas to and from Thrift structs.
 * <p>
 * Thread safe: stateless.
 */
public final class ManifestCodec {

	private ManifestCodec() {
	}

	/**
	 * Encode a document.
	 * @param document the document
	 * @return its sections; the nested maps are shared with the document
	 */
	public static Map<String, Map<String, String>> encode(ManifestDocument document) {
		return new TreeMap<>(document.sections());
	}

	/**
	 * Decode a document.
	 * @param sections its sections
	 * @return the document
	 */
	public static ManifestDocument decode(Map<String, Map<String, String>> sections) {
		return new ManifestDocument(sections);
	}

	/**
	 * Encode a delta.
	 * @param delta the delta
	 * @return the struct
	 */
	public static DeltaRecord encode(ManifestDelta delta) {
		return new DeltaRecord(new TreeMap<>(delta.changed()), delta.removed());
	}

	/**
	 * Decode a delta.
	 * @param delta the struct
	 * @return the delta
	 */
	public static ManifestDelta decode(DeltaRecord delta) {
		return new ManifestDelta(sorted(delta.getChanged()), delta.getRemoved());
	}

	private static SortedMap<String, SortedMap<String, String>> sorted(Map<String, Map<String, String>> sections) {
		SortedMap<String, SortedMap<String, String>> sorted = new TreeMap<>();
		sections.forEach((name, keys) -> sorted.put(name, new TreeMap<>(keys)));
		return sorted;
	}

}
