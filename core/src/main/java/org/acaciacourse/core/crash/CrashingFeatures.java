package org.acaciacourse.core.crash;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Finds the contents that crash each endpoint which runs them, from the crashes that all
 * entry VMs see. A crash puts all contents on the endpoint under suspicion, most of them
 * wrongly, and endpoints also crash for other reasons. So the crashes of a content are
 * weighed by how likely it is that it was there by chance: the rate of the other crashes
 * in the pool times the time that it had been at the endpoint. A content that meets a
 * second crash shortly after it was sent is hardly there by chance, a response that had
 * been streaming for seconds may well be.
 * <p>
 * Invariants: a crash does not count against a content if another content that was there
 * is known to crash endpoints. Of several contents that were at the same endpoints none
 * is blocked until a further crash tells them apart, or until it has met
 * {@value #PROVEN_CRASHES} crashes. A complete response clears a content. A block
 * expires, so that a wrong one is not permanent; after it the next crash blocks the
 * content again.
 * <p>
 * Not thread safe: belongs to one event loop.
 */
public final class CrashingFeatures {

	/** The facts that other VMs have seen of a crash arrive within this time. */
	static final long SETTLE_NANOS = 500_000_000L;

	/** Contents with fewer crashes are never refused. */
	static final int MIN_CRASHES = 2;

	/** Contents with so many crashes are refused in any case. */
	static final int PROVEN_CRASHES = 4;

	/** How long a content is blocked after its second crash. */
	static final long FIRST_BLOCK_NANOS = 120_000_000_000L;

	/** How long it is blocked after any further crash. */
	static final long BLOCK_NANOS = 600_000_000_000L;

	/**
	 * A content is blocked if its chance of having met its crashes without being the
	 * cause is lower. Bounds how often sound content is blocked: some hundred requests
	 * are at endpoints at a time.
	 */
	private static final double MAX_CHANCE = 3e-6;

	/** Crashes within this time tell how often endpoints of a pool crash. */
	private static final long RATE_WINDOW_NANOS = 20_000_000_000L;

	/**
	 * Bounds the weight of a crash right after the request was sent: several endpoints
	 * may crash within this time for one reason.
	 */
	private static final int MIN_RUN_MILLIS = 50;

	/** A crash that is told within this time after a response came before it. */
	private static final long LATE_FACT_NANOS = 2_000_000_000L;

	/** How long the crashes of a content are kept after the last one. */
	private static final long RETENTION_NANOS = 3_600_000_000_000L;

	private static final int MAX_CONTENTS = 4_096;

	private static final int MAX_CRASHES = 1_024;

	/** In the order of their latest crashes. */
	private final Map<Long, Suspect> suspects = new LinkedHashMap<>();

	/** By the ids of the endpoints, in their order. */
	private final Map<Integer, EndpointCrash> crashes = new LinkedHashMap<>();

	/** When the contents that were suspected were answered. */
	private final Map<Long, Long> answered = new LinkedHashMap<>();

	/**
	 * Return whether no content is suspected.
	 * @return whether all requests may be sent
	 */
	public boolean isEmpty() {
		return this.suspects.isEmpty();
	}

	/**
	 * Record a fact that this or another VM has seen.
	 * @param fact the fact
	 * @param now the time
	 * @return whether it was not known before
	 */
	public boolean record(FeatureFact fact, long now) {
		return switch (fact.kind()) {
			case CRASHED -> recordCrash(fact.content(), fact.run(), now);
			case ANSWERED -> clear(fact.content(), now);
			case BLOCKED -> recordBlock(fact.content(), now);
		};
	}

	private boolean recordCrash(long content, FeatureFact.Run run, long now) {
		Suspect suspect = this.suspects.get(content);
		boolean known = suspect != null && suspect.runs.containsKey(run.endpoint());
		Long answeredAt = this.answered.get(content);
		if (known || (answeredAt != null && now - answeredAt < LATE_FACT_NANOS)) {
			return false;
		}
		Suspect next = (suspect != null) ? suspect : new Suspect();
		next.runs.put(run.endpoint(), run);
		next.lastCrashAt = now;
		put(content, next);
		EndpointCrash crash = this.crashes.computeIfAbsent(run.endpoint(), (id) -> new EndpointCrash(run.pool(), now));
		crash.add(content, false);
		if (next.isBlocked(now)) {
			block(content, next, now);
		}
		trimCrashes();
		return true;
	}

	private void put(long content, Suspect suspect) {
		this.suspects.remove(content);
		this.suspects.put(content, suspect);
		if (this.suspects.size() > MAX_CONTENTS) {
			forget(this.suspects.keySet().iterator().next());
		}
	}

	private void trimCrashes() {
		if (this.crashes.size() > MAX_CRASHES) {
			Iterator<Map.Entry<Integer, EndpointCrash>> oldest = this.crashes.entrySet().iterator();
			Map.Entry<Integer, EndpointCrash> crash = oldest.next();
			oldest.remove();
			crash.getValue().contents().forEach((content) -> {
				Suspect suspect = this.suspects.get(content);
				if (suspect != null && !suspect.everBlocked) {
					suspect.runs.remove(crash.getKey());
				}
			});
		}
	}

	private void forget(long content) {
		Suspect suspect = this.suspects.remove(content);
		if (suspect != null) {
			suspect.runs.keySet().forEach((endpoint) -> {
				EndpointCrash crash = this.crashes.get(endpoint);
				if (crash != null) {
					crash.remove(content);
				}
			});
		}
	}

	private boolean clear(long content, long now) {
		boolean known = this.suspects.containsKey(content);
		forget(content);
		this.answered.remove(content);
		this.answered.put(content, now);
		this.answered.values().removeIf((at) -> now - at >= LATE_FACT_NANOS);
		return known;
	}

	private boolean recordBlock(long content, long now) {
		Suspect suspect = this.suspects.getOrDefault(content, new Suspect());
		if (suspect.isBlocked(now)) {
			return false;
		}
		if (suspect.runs.isEmpty()) {
			suspect.lastCrashAt = now;
		}
		put(content, suspect);
		block(content, suspect, now);
		return true;
	}

	private void block(long content, Suspect suspect, long now) {
		boolean again = suspect.everBlocked || suspect.runs.size() > MIN_CRASHES;
		suspect.blockedUntil = now + ((again) ? BLOCK_NANOS : FIRST_BLOCK_NANOS);
		suspect.everBlocked = true;
		suspect.runs.keySet().forEach((endpoint) -> {
			EndpointCrash crash = this.crashes.get(endpoint);
			if (crash != null) {
				crash.add(content, true);
			}
		});
	}

	/**
	 * Return whether a content is refused.
	 * @param content a hash of the content
	 * @param now the time
	 * @return for how long in nanoseconds, empty if it may be sent
	 */
	public OptionalLong refusedFor(long content, long now) {
		Suspect suspect = this.suspects.get(content);
		if (suspect == null) {
			return OptionalLong.empty();
		}
		if (!suspect.isBlocked(now) && isCulprit(content, suspect, now)) {
			block(content, suspect, now);
		}
		if (suspect.isBlocked(now)) {
			return OptionalLong.of(suspect.blockedUntil - now);
		}
		long settled = suspect.lastCrashAt + SETTLE_NANOS;
		boolean undecided = now - settled < 0 && !suspect.everBlocked && isUnlikelyByChance(content, suspect);
		return (undecided) ? OptionalLong.of(settled - now) : OptionalLong.empty();
	}

	/**
	 * Return whether a content is blocked; it is no more than undecided right after a
	 * crash.
	 * @param content a hash of the content
	 * @param now the time
	 * @return whether it is refused for longer than it takes to decide
	 */
	public boolean isBlocked(long content, long now) {
		return refusedFor(content, now).isPresent() && this.suspects.get(content).isBlocked(now);
	}

	/**
	 * Return whether a content was at an endpoint that crashed for no known reason.
	 * @param content a hash of the content
	 * @return whether it is under suspicion
	 */
	public boolean isSuspect(long content) {
		Suspect suspect = this.suspects.get(content);
		return suspect != null && !unexplained(content, suspect).isEmpty();
	}

	/**
	 * Return the number of crashes of a content, those that others explain included.
	 * @param content a hash of the content
	 * @return the number of endpoints
	 */
	public int crashes(long content) {
		Suspect suspect = this.suspects.get(content);
		return (suspect != null) ? suspect.runs.size() : 0;
	}

	/**
	 * Forget what is too old to count.
	 * @param now the time
	 */
	public void expire(long now) {
		List<Long> expired = new ArrayList<>();
		this.suspects.forEach((content, suspect) -> {
			if (now - suspect.lastCrashAt > RETENTION_NANOS && !suspect.isBlocked(now)) {
				expired.add(content);
			}
		});
		expired.forEach(this::forget);
		this.crashes.values()
			.removeIf((crash) -> crash.contents().isEmpty() && now - crash.at() > 2 * RATE_WINDOW_NANOS);
	}

	private boolean isCulprit(long content, Suspect suspect, long now) {
		if (suspect.everBlocked) {
			return suspect.lastCrashAt - suspect.blockedUntil >= 0;
		}
		List<FeatureFact.Run> runs = unexplained(content, suspect);
		if (runs.size() >= PROVEN_CRASHES) {
			return true;
		}
		boolean settled = now - suspect.lastCrashAt >= SETTLE_NANOS;
		return settled && isUnlikelyByChance(content, suspect) && isOnlyOne(content, runs);
	}

	private boolean isUnlikelyByChance(long content, Suspect suspect) {
		List<FeatureFact.Run> runs = unexplained(content, suspect);
		return runs.size() >= MIN_CRASHES && chance(content, runs) <= MAX_CHANCE;
	}

	private List<FeatureFact.Run> unexplained(long content, Suspect suspect) {
		return suspect.runs.values()
			.stream()
			.filter((run) -> !this.crashes.containsKey(run.endpoint())
					|| !this.crashes.get(run.endpoint()).isExplainedWithout(content))
			.toList();
	}

	// The chance that a content which crashes no endpoint meets crashes during these
	// runs.
	private double chance(long content, List<FeatureFact.Run> runs) {
		double chance = 1;
		for (FeatureFact.Run run : runs) {
			double perEndpoint = (1.0 + otherCrashes(content, run)) / run.poolSize();
			double share = Math.max(MIN_RUN_MILLIS, run.millis()) * 1e6 / RATE_WINDOW_NANOS;
			chance *= Math.min(1, perEndpoint * share);
		}
		return chance;
	}

	private long otherCrashes(long content, FeatureFact.Run run) {
		EndpointCrash own = this.crashes.get(run.endpoint());
		if (own == null) {
			return 0;
		}
		return this.crashes.values()
			.stream()
			.filter((crash) -> crash.pool() == run.pool() && Math.abs(crash.at() - own.at()) < RATE_WINDOW_NANOS)
			.filter((crash) -> !crash.contents().contains(content) && !crash.isExplainedWithout(content))
			.count();
	}

	// Whether no other suspect was at all of these endpoints.
	private boolean isOnlyOne(long content, List<FeatureFact.Run> runs) {
		EndpointCrash first = this.crashes.get(runs.get(0).endpoint());
		if (first == null) {
			return true;
		}
		return first.contents()
			.stream()
			.filter((other) -> other != content)
			.map(this.suspects::get)
			.noneMatch((other) -> other != null && wasAtAll(other.runs.keySet(), runs));
	}

	private static boolean wasAtAll(Set<Integer> endpoints, List<FeatureFact.Run> runs) {
		return runs.stream().allMatch((run) -> endpoints.contains(run.endpoint()));
	}

	/** A content that was at an endpoint that crashed, or that another VM has blocked. */
	private static final class Suspect {

		/** By endpoint. */
		private final Map<Integer, FeatureFact.Run> runs = new HashMap<>();

		private long lastCrashAt;

		private long blockedUntil;

		private boolean everBlocked;

		private boolean isBlocked(long now) {
			return this.everBlocked && now - this.blockedUntil < 0;
		}

	}

}
