package org.acaciacourse.core.crash;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.acaciacourse.core.crash.CrashEvidence.LostRun;

/**
 * Finds the features of requests that crash each endpoint which runs them, from the
 * crashes that all entry VMs see. A crash puts all features on the endpoint under
 * suspicion, most of them wrongly, and endpoints also crash for other reasons. So the
 * crashes of a feature are weighed by how likely it is that it met them by chance
 * ({@link CrashEvidence}). A feature that meets a second crash shortly after its request
 * was sent is hardly there by chance, a response that had been streaming for seconds may
 * well be.
 * <p>
 * Invariants: a crash does not count against a feature if another feature that was there
 * is known to crash endpoints. Of several features that were at the same endpoints none
 * is blocked until a further crash or an answer tells them apart; until then only
 * requests that have all of them are refused, so that no request is refused for a part
 * that it does not have. An answer that began after a crash clears its features of that
 * crash. A block expires, so that a wrong one is not permanent; after it one request at a
 * time is let through until the feature is cleared or crashes another endpoint.
 * <p>
 * Not thread safe: belongs to one event loop.
 */
public final class CrashingFeatures {

	/** The facts that other VMs have seen of a crash arrive within this time. */
	static final long SETTLE_NANOS = 500_000_000L;

	/**
	 * A request that is sent after a crash is answered within this time, so that the
	 * parts of its prompt are cleared.
	 */
	private static final long PART_SETTLE_NANOS = 750_000_000L;

	/** Contents with fewer crashes are never refused. */
	static final int MIN_CONTENT_CRASHES = 2;

	/**
	 * Parts with fewer crashes are never refused: many sound requests may have the same
	 * part, so that more of them are lost if it is refused wrongly.
	 */
	static final int MIN_PART_CRASHES = 3;

	/** Contents with so many crashes are refused in any case. */
	static final int PROVEN_CRASHES = 4;

	/**
	 * The time between two requests with a suspected part while no request of the pool is
	 * answered, and after its last crash. A prompt is prefilled within less time.
	 */
	private static final long HOLD_NANOS = 1_000_000_000L;

	/**
	 * The blocks of the VMs end at different times within this one, so that a feature
	 * which still crashes endpoints is not let through by all of them at once.
	 */
	static final long MAX_STAGGER_NANOS = 10_000_000_000L;

	/** How long answers are kept: facts of earlier crashes arrive within this time. */
	private static final long ANSWER_RETENTION_NANOS = 10_000_000_000L;

	/** How long the crashes of a feature are kept after the last one. */
	private static final long RETENTION_NANOS = 3_600_000_000_000L;

	private static final int MAX_SUSPECTS = 4_096;

	private static final int MAX_CRASHES = 1_024;

	private final long staggerSeed;

	/** In the order of their latest crashes. */
	private final Map<Long, Suspect> suspects = new LinkedHashMap<>();

	/** By the ids of the endpoints, in their order. */
	private final Map<Integer, EndpointCrash> crashes = new LinkedHashMap<>();

	/** When the latest answers on features that were suspected began. */
	private final Map<Long, Long> answered = new LinkedHashMap<>();

	/** When the latest answer of each pool began, which this VM has seen. */
	private final Map<Integer, Long> poolAnsweredAt = new HashMap<>();

	private final List<Long> newlyBlocked = new ArrayList<>();

	/**
	 * Create an empty set.
	 * @param staggerSeed differs between the VMs
	 */
	public CrashingFeatures(long staggerSeed) {
		this.staggerSeed = staggerSeed;
	}

	/**
	 * Return whether no feature is suspected.
	 * @return whether all requests may be sent
	 */
	public boolean isEmpty() {
		return this.suspects.isEmpty();
	}

	/**
	 * Return whether a feature was at an endpoint that crashed, or is blocked.
	 * @param feature the feature
	 * @return whether an answer on it is worth telling
	 */
	public boolean isKnown(long feature) {
		return this.suspects.containsKey(feature);
	}

	/**
	 * Record a fact that this or another VM has seen.
	 * @param fact the fact
	 * @param now the time
	 * @return whether it was not known before
	 */
	public boolean record(FeatureFact fact, long now) {
		long at = now - fact.ageMillis() * 1_000_000L;
		return switch (fact.kind()) {
			case CRASHED -> recordCrash(fact.feature(), new LostRun(fact.run(), at), now);
			case ANSWERED -> clear(fact.feature(), at, now);
			case BLOCKED -> recordBlock(fact.feature(), at, now);
		};
	}

	/**
	 * Record that an endpoint of a pool has begun an answer and gone on with it.
	 * @param pool the id of the pool
	 * @param at when the answer began
	 */
	public void poolAnswered(int pool, long at) {
		this.poolAnsweredAt.merge(pool, at, (a, b) -> (a - b >= 0) ? a : b);
	}

	private boolean recordCrash(long feature, LostRun lost, long now) {
		int endpoint = lost.run().endpoint();
		Suspect suspect = this.suspects.get(feature);
		Long answeredAt = this.answered.get(feature);
		if ((suspect != null && suspect.runs().containsKey(endpoint))
				|| (answeredAt != null && answeredAt - lost.lostAt() >= 0)) {
			return false;
		}
		Suspect next = (suspect != null) ? suspect : new Suspect(lost.lostAt());
		next.crashed(lost);
		put(feature, next, now);
		EndpointCrash crash = this.crashes.computeIfAbsent(endpoint,
				(id) -> new EndpointCrash(lost.run().pool(), lost.lostAt()));
		crash.seen(lost.lostAt());
		crash.add(feature);
		if (next.isBlockedBefore(lost.sentAt())) {
			block(feature, next, now);
		}
		trimCrashes();
		return true;
	}

	private void put(long feature, Suspect suspect, long now) {
		this.suspects.remove(feature);
		this.suspects.put(feature, suspect);
		if (this.suspects.size() > MAX_SUSPECTS) {
			this.suspects.entrySet()
				.stream()
				.filter((entry) -> !entry.getValue().isBlocked(now))
				.findFirst()
				.or(() -> this.suspects.entrySet().stream().findFirst())
				.ifPresent((oldest) -> forget(oldest.getKey()));
		}
	}

	private void trimCrashes() {
		if (this.crashes.size() > MAX_CRASHES) {
			Iterator<Map.Entry<Integer, EndpointCrash>> oldest = this.crashes.entrySet().iterator();
			Map.Entry<Integer, EndpointCrash> crash = oldest.next();
			oldest.remove();
			crash.getValue().features().forEach((feature) -> {
				Suspect suspect = this.suspects.get(feature);
				if (suspect != null && !suspect.wasBlocked()) {
					suspect.runs().remove(crash.getKey());
				}
			});
		}
	}

	private void forget(long feature) {
		Suspect suspect = this.suspects.remove(feature);
		if (suspect != null) {
			suspect.runs().keySet().forEach((endpoint) -> removeFromCrash(endpoint, feature));
		}
	}

	private void removeFromCrash(int endpoint, long feature) {
		EndpointCrash crash = this.crashes.get(endpoint);
		if (crash != null) {
			crash.remove(feature);
		}
	}

	private boolean clear(long feature, long answeredAt, long now) {
		this.answered.merge(feature, answeredAt, (a, b) -> (a - b >= 0) ? a : b);
		this.answered.values().removeIf((at) -> now - at >= ANSWER_RETENTION_NANOS);
		Suspect suspect = this.suspects.get(feature);
		if (suspect == null) {
			return false;
		}
		if (answeredAt - suspect.lastCrashAt() >= 0) {
			forget(feature);
			return true;
		}
		List<Integer> survived = suspect.runs()
			.entrySet()
			.stream()
			.filter((lost) -> answeredAt - lost.getValue().lostAt() >= 0)
			.map(Map.Entry::getKey)
			.toList();
		survived.forEach((endpoint) -> {
			suspect.runs().remove(endpoint);
			removeFromCrash(endpoint, feature);
		});
		if (!survived.isEmpty() && suspect.runs().size() < MIN_PART_CRASHES) {
			unblock(feature, suspect);
		}
		return !survived.isEmpty();
	}

	private boolean recordBlock(long feature, long at, long now) {
		Suspect suspect = this.suspects.getOrDefault(feature, new Suspect(at));
		Long answeredAt = this.answered.get(feature);
		if (suspect.isBlocked(now) || (answeredAt != null && answeredAt - at >= 0)) {
			return false;
		}
		put(feature, suspect, now);
		suspect.toldApart(true);
		block(feature, suspect, now);
		return true;
	}

	private void block(long feature, Suspect suspect, long now) {
		suspect.block(now, stagger(feature));
		if (!suspect.isToldApart()) {
			return;
		}
		Set<Long> others = new HashSet<>();
		crashesOf(suspect).forEach((crash) -> {
			crash.addCulprit(feature, suspect.isPart());
			others.addAll(crash.culprits(false));
		});
		others.remove(feature);
		others.forEach(this::unblockIfExplained);
	}

	// A feature that met the crashes of others may have been blocked before these.
	private void unblockIfExplained(long feature) {
		Suspect suspect = this.suspects.get(feature);
		if (suspect != null && !suspect.runs().isEmpty() && unexplained(feature, suspect).isEmpty()) {
			unblock(feature, suspect);
		}
	}

	private void unblock(long feature, Suspect suspect) {
		suspect.unblock();
		crashesOf(suspect).forEach((crash) -> crash.clearCulprit(feature));
	}

	private Stream<EndpointCrash> crashesOf(Suspect suspect) {
		return suspect.runs().keySet().stream().map(this.crashes::get).filter((crash) -> crash != null);
	}

	private long stagger(long feature) {
		long hash = (feature ^ this.staggerSeed) * 0x9E3779B97F4A7C15L;
		return Math.floorMod(hash ^ (hash >>> 32), MAX_STAGGER_NANOS);
	}

	/**
	 * Return whether a request is refused.
	 * @param request its features
	 * @param now the time
	 * @return for how long in nanoseconds, empty if it may be sent
	 */
	public OptionalLong refusedFor(RequestFeatures request, long now) {
		return request.stream()
			.map((feature) -> refusedFor(feature, request, now))
			.flatMapToLong(OptionalLong::stream)
			.max();
	}

	private OptionalLong refusedFor(long feature, RequestFeatures request, long now) {
		Suspect suspect = this.suspects.get(feature);
		if (suspect == null) {
			return OptionalLong.empty();
		}
		if (suspect.wasBlocked()) {
			return suspect.blockedFor(now);
		}
		suspect.seenAsPart(feature != request.content());
		return (suspect.isPart()) ? partRefusedFor(feature, suspect, request, now)
				: contentRefusedFor(feature, suspect, request, now);
	}

	// A content is also refused while it is not settled whether it is the cause: nobody
	// else loses by it.
	private OptionalLong contentRefusedFor(long content, Suspect suspect, RequestFeatures request, long now) {
		CrashEvidence evidence = CrashEvidence.of(unexplained(content, suspect));
		boolean proven = evidence.crashes() >= PROVEN_CRASHES;
		if (!proven && (!isCause(content, evidence, MIN_CONTENT_CRASHES)
				|| !request.containsAll(featuresAtAll(evidence.endpoints())))) {
			return OptionalLong.empty();
		}
		long settledAt = suspect.lastCrashAt() + SETTLE_NANOS;
		if (!proven && now - settledAt < 0) {
			return OptionalLong.of(settledAt - now);
		}
		suspect.toldApart(isAlone(evidence));
		return refuse(content, suspect, proven || suspect.isToldApart(), now);
	}

	// That no answer clears the part says nothing unless other requests of the pool are
	// answered. A request that was at a crash itself is not sent again until it is
	// settled.
	private OptionalLong partRefusedFor(long part, Suspect suspect, RequestFeatures request, long now) {
		List<LostRun> runs = unexplained(part, suspect);
		CrashEvidence settled = CrashEvidence
			.of(runs.stream().filter((lost) -> now - lost.lostAt() >= PART_SETTLE_NANOS).toList());
		if (isCauseOfAll(part, settled, request)) {
			if (hasPoolAnswered(settled.last())) {
				suspect.toldApart(isAlone(settled));
				return refuse(part, suspect, suspect.isToldApart(), now);
			}
			long until = Math.max(settled.last().lostAt(), suspect.sentAt()) + HOLD_NANOS;
			return (settled.crashes() > MIN_PART_CRASHES && until - now > 0) ? OptionalLong.of(until - now)
					: OptionalLong.empty();
		}
		CrashEvidence latest = CrashEvidence.of(runs);
		boolean held = isCauseOfAll(part, latest, request)
				&& (hasPoolAnswered(latest.last()) || this.suspects.containsKey(request.content()));
		long until = (held) ? latest.last().lostAt() + PART_SETTLE_NANOS : now;
		return (until - now > 0) ? OptionalLong.of(until - now) : OptionalLong.empty();
	}

	private boolean isCauseOfAll(long part, CrashEvidence evidence, RequestFeatures request) {
		return isCause(part, evidence, MIN_PART_CRASHES) && request.containsAll(featuresAtAll(evidence.endpoints()));
	}

	private boolean hasPoolAnswered(LostRun last) {
		Long answeredAt = this.poolAnsweredAt.get(last.run().pool());
		return answeredAt != null && answeredAt - last.lostAt() >= 0;
	}

	private boolean isCause(long feature, CrashEvidence evidence, int minCrashes) {
		return evidence.crashes() >= minCrashes && evidence.isUnlikelyByChance(feature, this.crashes.values());
	}

	private boolean isAlone(CrashEvidence evidence) {
		return featuresAtAll(evidence.endpoints()).size() <= 1;
	}

	// While other features were at the same crashes, requests that have all of them are
	// refused for a time, and none of the features is blocked.
	private OptionalLong refuse(long feature, Suspect suspect, boolean certain, long now) {
		if (certain) {
			block(feature, suspect, now);
			this.newlyBlocked.add(feature);
			return suspect.blockedFor(now);
		}
		long until = suspect.lastCrashAt() + Suspect.FIRST_BLOCK_NANOS;
		return (until - now > 0) ? OptionalLong.of(until - now) : OptionalLong.empty();
	}

	/**
	 * Remove and return the features that {@link #refusedFor} has found to crash
	 * endpoints, each of which may be worth telling the other VMs.
	 * @return the features since the last call
	 */
	public List<Long> drainNewlyBlocked() {
		List<Long> features = List.copyOf(this.newlyBlocked);
		this.newlyBlocked.clear();
		return features;
	}

	/**
	 * Return whether all requests with a feature are refused; it is no more than
	 * undecided right after a crash.
	 * @param feature the feature
	 * @param now the time
	 * @return whether the feature is blocked
	 */
	public boolean isBlocked(long feature, long now) {
		Suspect suspect = this.suspects.get(feature);
		return suspect != null && suspect.isBlocked(now);
	}

	/**
	 * Record that a request is sent. If one of its features was blocked before, no other
	 * request with it is let through until the effect of this one is known.
	 * @param request its features
	 * @param now the time
	 */
	public void sent(RequestFeatures request, long now) {
		request.stream().forEach((feature) -> {
			Suspect suspect = this.suspects.get(feature);
			if (suspect != null) {
				suspect.sent(now);
			}
		});
	}

	/**
	 * Return whether a feature was at an endpoint that crashed for no known reason.
	 * @param feature the feature
	 * @return whether it is under suspicion
	 */
	public boolean isSuspect(long feature) {
		Suspect suspect = this.suspects.get(feature);
		return suspect != null && !unexplained(feature, suspect).isEmpty();
	}

	/**
	 * Return the number of crashes of a feature, those that others explain included.
	 * @param feature the feature
	 * @return the number of endpoints
	 */
	public int crashes(long feature) {
		Suspect suspect = this.suspects.get(feature);
		return (suspect != null) ? suspect.runs().size() : 0;
	}

	/**
	 * Forget what is too old to count.
	 * @param now the time
	 */
	public void expire(long now) {
		List<Long> expired = new ArrayList<>();
		this.suspects.forEach((feature, suspect) -> {
			if (now - suspect.lastCrashAt() > RETENTION_NANOS && !suspect.isBlocked(now)) {
				expired.add(feature);
			}
		});
		expired.forEach(this::forget);
		this.crashes.values()
			.removeIf((crash) -> crash.features().isEmpty() && now - crash.at() > 2 * CrashEvidence.RATE_WINDOW_NANOS);
	}

	private List<LostRun> unexplained(long feature, Suspect suspect) {
		return suspect.runs()
			.entrySet()
			.stream()
			.filter((lost) -> !isExplained(this.crashes.get(lost.getKey()), feature, suspect))
			.map(Map.Entry::getValue)
			.toList();
	}

	// One that was at fewer crashes may itself have been there by chance.
	private boolean isExplained(EndpointCrash crash, long feature, Suspect suspect) {
		return crash != null && crash.culprits(suspect.isPart())
			.stream()
			.anyMatch((other) -> other != feature && crashes(other) >= suspect.runs().size());
	}

	// The features that were at all of these endpoints, which can't be told apart.
	private Set<Long> featuresAtAll(Set<Integer> endpoints) {
		return endpoints.stream()
			.map(this.crashes::get)
			.filter((crash) -> crash != null)
			.findFirst()
			.map((crash) -> crash.features()
				.stream()
				.filter((feature) -> this.suspects.containsKey(feature)
						&& this.suspects.get(feature).runs().keySet().containsAll(endpoints))
				.collect(Collectors.toSet()))
			.orElse(Set.of());
	}

}
