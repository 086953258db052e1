package org.acaciacourse.core.balance;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import org.acaciacourse.core.crash.FeatureFact;
import org.acaciacourse.core.share.CustomerWorks;
import org.acaciacourse.core.speed.SpeedStatement;
import org.acaciacourse.core.speed.SpeedTable;

/**
 * A summary of the load at the endpoints that one entry VM sends to others. A digest that
 * is too large for a packet is sent in parts, each of which covers its own endpoints.
 * <p>
 * Immutable and thread safe.
 *
 * @param kind what it covers
 * @param sequence its sequence number, higher than any before, also across restarts
 * @param part the index of this part
 * @param parts the number of parts
 * @param vms the number of VMs whose load is included
 * @param loads the load at each endpoint that has any
 * @param uses the shared parts of prompts that were recently sent to endpoints
 * @param acknowledged the sequence numbers of the included reports, by the ids of their
 * senders
 * @param facts what VMs have lately seen of features of requests that may crash endpoints
 * @param limits the limits on their requests that endpoints have lately stated
 * @param customers the recent work of customers
 * @param speeds the speeds of endpoints of which VMs have observed something new
 */
public record LoadDigest(Kind kind, long sequence, int part, int parts, int vms, List<PeerLoads.Load> loads,
		List<PartUse> uses, Map<Integer, Long> acknowledged, List<FeatureFact> facts, List<RateLimits.Statement> limits,
		CustomerWorks customers, List<SpeedStatement> speeds) {

	/** Endpoints in a part, which together with the rest fit into a packet. */
	private static final int MAX_LOADS_PER_PART = 60;

	/** Uses in a part. */
	static final int MAX_USES_PER_PART = 30;

	/** Limits in a part. */
	private static final int MAX_LIMITS_PER_PART = 20;

	/** Facts in a part. */
	private static final int MAX_FACTS_PER_PART = 16;

	/**
	 * Bounds the parts of a digest. Uses that do not fit are dropped: at worst their
	 * prompt parts are prefilled once more.
	 */
	private static final int MAX_PARTS = 32;

	public LoadDigest {
		if (part < 0 || parts < 1 || part >= parts || parts > MAX_PARTS || vms < 1) {
			throw new IllegalArgumentException(
					"invalid digest: part " + part + " of " + parts + " for " + vms + " VMs");
		}
		loads = List.copyOf(loads);
		uses = List.copyOf(uses);
		acknowledged = Map.copyOf(acknowledged);
		facts = List.copyOf(facts);
		limits = List.copyOf(limits);
		speeds = List.copyOf(speeds);
	}

	/**
	 * Create a digest without the work of customers and the speeds of endpoints.
	 * @param kind what it covers
	 * @param sequence its sequence number
	 * @param part the index of this part
	 * @param parts the number of parts
	 * @param vms the number of VMs whose load is included
	 * @param loads the loads
	 * @param uses the uses
	 * @param acknowledged the sequence numbers of the included reports
	 * @param facts the facts
	 * @param limits the limits
	 */
	public LoadDigest(Kind kind, long sequence, int part, int parts, int vms, List<PeerLoads.Load> loads,
			List<PartUse> uses, Map<Integer, Long> acknowledged, List<FeatureFact> facts,
			List<RateLimits.Statement> limits) {
		this(kind, sequence, part, parts, vms, loads, uses, acknowledged, facts, limits, CustomerWorks.NONE, List.of());
	}

	/**
	 * Make a digest of one part.
	 * @param kind what it covers
	 * @param sequence its sequence number
	 * @param vms the number of VMs whose load is included
	 * @param loads the loads
	 * @param uses the uses
	 * @return the digest
	 */
	static LoadDigest of(Kind kind, long sequence, int vms, List<PeerLoads.Load> loads, List<PartUse> uses) {
		return new LoadDigest(kind, sequence, 0, 1, vms, loads, uses, Map.of(), List.of(), List.of());
	}

	LoadDigest withAcknowledged(Map<Integer, Long> reports) {
		return new LoadDigest(this.kind, this.sequence, this.part, this.parts, this.vms, this.loads, this.uses, reports,
				this.facts, this.limits, this.customers, this.speeds);
	}

	LoadDigest withFacts(List<FeatureFact> featureFacts) {
		return new LoadDigest(this.kind, this.sequence, this.part, this.parts, this.vms, this.loads, this.uses,
				this.acknowledged, featureFacts, this.limits, this.customers, this.speeds);
	}

	LoadDigest withLimits(List<RateLimits.Statement> statements) {
		return new LoadDigest(this.kind, this.sequence, this.part, this.parts, this.vms, this.loads, this.uses,
				this.acknowledged, this.facts, statements, this.customers, this.speeds);
	}

	LoadDigest withSpeeds(List<SpeedStatement> statements) {
		return new LoadDigest(this.kind, this.sequence, this.part, this.parts, this.vms, this.loads, this.uses,
				this.acknowledged, this.facts, this.limits, this.customers, statements);
	}

	/**
	 * Return the same digest with the work of customers.
	 * @param works the works
	 * @return the digest
	 */
	public LoadDigest withCustomers(CustomerWorks works) {
		return new LoadDigest(this.kind, this.sequence, this.part, this.parts, this.vms, this.loads, this.uses,
				this.acknowledged, this.facts, this.limits, works, this.speeds);
	}

	/**
	 * Split the digest into parts that fit into a packet.
	 * @return the parts, at least one
	 */
	List<LoadDigest> split() {
		int needed = IntStream
			.of(chunkCount(this.loads.size(), MAX_LOADS_PER_PART), chunkCount(this.uses.size(), MAX_USES_PER_PART),
					chunkCount(this.facts.size(), MAX_FACTS_PER_PART),
					chunkCount(this.limits.size(), MAX_LIMITS_PER_PART), this.customers.parts())
			.max()
			.getAsInt();
		int count = Math.max(1, Math.min(MAX_PARTS, needed));
		List<LoadDigest> all = new ArrayList<>(count);
		for (int i = 0; i < count; i++) {
			all.add(new LoadDigest(this.kind, this.sequence, i, count, this.vms,
					chunk(this.loads, i, MAX_LOADS_PER_PART), chunk(this.uses, i, MAX_USES_PER_PART), this.acknowledged,
					chunk(this.facts, i, MAX_FACTS_PER_PART), chunk(this.limits, i, MAX_LIMITS_PER_PART),
					this.customers.part(i), chunk(this.speeds, i, SpeedTable.MAX_STATEMENTS)));
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

		/** The load of the sender and of the VMs that report to it. */
		SUMMARY,

		/** The load of the sender, for the relay that aggregates it. */
		REPORT,

		/** The load of all entry VMs, for those that reported to the sender. */
		VIEW

	}

}
