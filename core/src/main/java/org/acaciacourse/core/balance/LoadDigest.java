package org.acaciacourse.core.balance;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * What one entry VM tells others of the load at the endpoints. A digest that is too large
 * for a packet is told in parts, each of which stands for its own endpoints.
 * <p>
 * Immutable and thread safe.
 *
 * @param kind what it covers
 * @param sequence its number, higher than that of any before, also in earlier lives
 * @param part the place of this part
 * @param parts how many parts there are
 * @param vms how many VMs have their load in it
 * @param loads the load at each endpoint where there is any
 * @param uses the shared parts of prompts that endpoints were sent lately
 * @param heard the numbers of the reports in it, by the short names of their senders
 */
public record LoadDigest(Kind kind, long sequence, int part, int parts, int vms, List<PeerLoads.Load> loads,
		List<PartUse> uses, Map<Integer, Long> heard) {

	/** Endpoints in a part, which takes less than a packet with the rest. */
	private static final int MAX_LOADS_PER_PART = 60;

	/** Uses in a part. */
	static final int MAX_USES_PER_PART = 30;

	/**
	 * Uses beyond these parts are not told: what they name is read once more at worst.
	 */
	private static final int MAX_PARTS = 32;

	public LoadDigest {
		if (part < 0 || parts < 1 || part >= parts || parts > MAX_PARTS || vms < 1) {
			throw new IllegalArgumentException("part " + part + " of " + parts + " for " + vms + " VMs");
		}
		loads = List.copyOf(loads);
		uses = List.copyOf(uses);
		heard = Map.copyOf(heard);
	}

	/**
	 * Make a digest of one part.
	 * @param kind what it covers
	 * @param sequence its number
	 * @param vms how many VMs have their load in it
	 * @param loads the loads
	 * @param uses the uses
	 * @return the digest
	 */
	static LoadDigest of(Kind kind, long sequence, int vms, List<PeerLoads.Load> loads, List<PartUse> uses) {
		return new LoadDigest(kind, sequence, 0, 1, vms, loads, uses, Map.of());
	}

	LoadDigest withAcknowledged(Map<Integer, Long> reports) {
		return new LoadDigest(this.kind, this.sequence, this.part, this.parts, this.vms, this.loads, this.uses,
				reports);
	}

	/**
	 * Cut it into parts that fit a packet.
	 * @return the parts, at least one
	 */
	List<LoadDigest> split() {
		int needed = Math.max(chunkCount(this.loads.size(), MAX_LOADS_PER_PART),
				chunkCount(this.uses.size(), MAX_USES_PER_PART));
		int count = Math.max(1, Math.min(MAX_PARTS, needed));
		List<LoadDigest> all = new ArrayList<>(count);
		for (int i = 0; i < count; i++) {
			all.add(new LoadDigest(this.kind, this.sequence, i, count, this.vms,
					chunk(this.loads, i, MAX_LOADS_PER_PART), chunk(this.uses, i, MAX_USES_PER_PART), this.heard));
		}
		return all;
	}

	private static int chunkCount(int size, int chunkSize) {
		return (size + chunkSize - 1) / chunkSize;
	}

	private static <T> List<T> chunk(List<T> all, int index, int chunkSize) {
		int from = Math.min(all.size(), index * chunkSize);
		return all.subList(from, Math.min(all.size(), from + chunkSize));
	}

	/** What a digest covers. */
	public enum Kind {

		/** What the sender has under way, and those that report to it. */
		SUMMARY,

		/** What the sender has under way, for the VM that sums it up. */
		REPORT,

		/** What all entry VMs have under way, for those that reported to the sender. */
		VIEW

	}

}
