package org.acaciacourse.bench.capacity;

import java.util.SortedMap;
import java.util.TreeMap;

import org.acaciacourse.core.manifest.ManifestDocument;

/**
 * Makes manifests of any size.
 * <p>
 * Thread safe: it has no state.
 */
public final class SampleDocuments {

	private static final int DATA_CENTRES = 11;

	private SampleDocuments() {
	}

	/**
	 * Make a document.
	 * @param number the number of the manifest
	 * @param endpoints how many endpoints
	 * @param customers how many customers
	 * @param models how many models, one to an endpoint set
	 * @return the document
	 */
	public static ManifestDocument of(long number, int endpoints, int customers, int models) {
		SortedMap<String, SortedMap<String, String>> sections = new TreeMap<>();
		put(sections, "manifest", "number", Long.toString(number), "policy", "tiered");
		put(sections, "policy tiered", "kind", "tiered");
		StringBuilder sets = new StringBuilder();
		for (int i = 0; i < models; i++) {
			put(sections, "endpoint-set set-" + i, "kind", "model", "models", "model-" + i, "resume", "true");
			sets.append((i == 0) ? "" : ", ").append("set-").append(i);
		}
		String[] tiers = { "high", "middle", "low" };
		for (String tier : tiers) {
			put(sections, "class " + tier, "tier", tier, "target", "first-token 410 ms", "deadline", "60 s",
					"endpoint-sets", sets.toString());
		}
		for (int i = 0; i < endpoints; i++) {
			put(sections, "endpoint engine-" + i, "set", "set-" + i % models, "address",
					"http://10.%d.%d.%d:9000".formatted(i >> 16, (i >> 8) & 255, i & 255), "data-centre",
					"dc-" + i % DATA_CENTRES, "slots", "16");
		}
		for (int i = 0; i < customers; i++) {
			put(sections, "customer customer-" + i, "key-sha256", "%064x".formatted(i), "classes", "high, middle, low",
					"requests-per-second", "50");
		}
		return new ManifestDocument(sections);
	}

	private static void put(SortedMap<String, SortedMap<String, String>> sections, String name, String... pairs) {
		SortedMap<String, String> keys = new TreeMap<>();
		for (int i = 0; i < pairs.length; i += 2) {
			keys.put(pairs[i], pairs[i + 1]);
		}
		sections.put(name, keys);
	}

}
