package org.acaciacourse.core.consensus;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * Decides the next membership change while this replica leads: a replica that is not in
 * the membership joins as a learner, and once it has caught up it replaces the previous
 * voter of its VM, or a voter that has been out of contact for too long. A replica's
 * identity is tied to its disk, so that a replica which lost its disk, and with it its
 * votes and acknowledged entries, is never mistaken for the previous one.
 * <p>
 * The steps: add the learner; wait until it holds a point that was committed after it
 * joined; remove the VM's old voter; promote the learner. The old voter goes before the
 * promotion: it is lost already, while a promotion first would make the quorum larger and
 * depend on the newcomer. Each step follows from the committed membership alone, so that
 * a new leader goes on where the last one stopped; only the point to catch up to is
 * chosen anew, and later.
 * <p>
 * Invariants: one change at a time; nothing is decided before the membership in force is
 * committed; a learner is promoted only after it held a point committed after it joined.
 * <p>
 * Not thread safe: called on the replica's thread. It keeps what one leadership needs and
 * is cleared by {@link #leadershipLost()}.
 */
public final class MembershipManager {

	/** Five voters survive two failures; more only slow down commits. */
	static final int MAX_VOTERS = 5;

	static final int MAX_MEMBERS = 2 * MAX_VOTERS;

	/**
	 * After how long without contact a voter gives its place up to a replica of a VM that
	 * is new. A process that was killed is back sooner. One that is only cut off loses
	 * nothing but its place: it joins again.
	 */
	static final long MAX_ABSENCE_NANOS = 2_000_000_000L;

	private final Map<String, Member> joinRequests = new LinkedHashMap<>();

	private final Map<ReplicaId, Long> catchUpTargets = new HashMap<>();

	private final Map<ReplicaId, Long> absentSince = new HashMap<>();

	private long lastObservedAt;

	/**
	 * Note a join request from a replica that has an empty disk, or that was removed from
	 * the membership while it was out of contact. The replica repeats the request until a
	 * leader replicates to it.
	 * @param member the replica
	 * @return whether the request is noted; it is refused when too many wait
	 */
	public boolean join(Member member) {
		if (this.joinRequests.size() >= MAX_MEMBERS && !this.joinRequests.containsKey(member.vm())) {
			return false;
		}
		this.joinRequests.put(member.vm(), new Member(member.id(), member.vm(), member.address(), false));
		return true;
	}

	/**
	 * Forget what only a leader may keep.
	 */
	public void leadershipLost() {
		this.joinRequests.clear();
		this.catchUpTargets.clear();
		this.absentSince.clear();
	}

	/**
	 * Note which voters are in contact, before {@link #next} is asked.
	 * @param current the membership in force
	 * @param inContact whether a member answered lately
	 * @param now the time in nanoseconds
	 */
	public void observe(Membership current, Predicate<ReplicaId> inContact, long now) {
		this.lastObservedAt = now;
		this.absentSince.keySet().removeIf((id) -> !current.isVoter(id) || inContact.test(id));
		current.voters()
			.stream()
			.filter((id) -> !inContact.test(id))
			.forEach((id) -> this.absentSince.putIfAbsent(id, now));
	}

	/**
	 * Return how long a voter has been out of contact.
	 * @param id the identity of the voter
	 * @return the duration up to the last {@link #observe}, or nothing if the replica was
	 * in contact then or is not a voter
	 */
	public Optional<Duration> absence(ReplicaId id) {
		return Optional.ofNullable(this.absentSince.get(id))
			.map((since) -> Duration.ofNanos(this.lastObservedAt - since));
	}

	/**
	 * Decide the next change. The caller proposes it by
	 * {@link ReplicatedLog#changeMembership} and asks again later in any case.
	 * @param current the membership in force
	 * @param committed whether it is committed
	 * @param commitIndex the leader's commit index
	 * @param matchIndex how far each member's log is known to match
	 * @param inContact whether a member answered lately; a voter that does has its disk,
	 * whoever else uses the name of its VM
	 * @return the next membership, or nothing if nothing is to be changed now
	 */
	public Optional<Membership> next(Membership current, boolean committed, long commitIndex,
			ToLongFunction<ReplicaId> matchIndex, Predicate<ReplicaId> inContact) {
		if (!committed) {
			return Optional.empty();
		}
		this.joinRequests.values().removeIf((member) -> current.member(member.id()).isPresent());
		this.catchUpTargets.keySet().removeIf((id) -> current.member(id).isEmpty());
		Optional<Membership> replacement = replaceOrPromote(current, commitIndex, matchIndex, inContact);
		return replacement.or(() -> addOrRemoveLearner(current, inContact));
	}

	private Optional<Membership> replaceOrPromote(Membership current, long commitIndex,
			ToLongFunction<ReplicaId> matchIndex, Predicate<ReplicaId> inContact) {
		for (Member member : current.members()) {
			if (!member.voter() && isCaughtUp(member, commitIndex, matchIndex)) {
				Optional<Member> previous = previousVoter(current, member);
				if (previous.isPresent() && !inContact.test(previous.get().id())) {
					return Optional.of(current.without(previous.get().id()));
				}
				if (previous.isEmpty() && current.voters().size() < MAX_VOTERS) {
					return Optional.of(current.with(new Member(member.id(), member.vm(), member.address(), true)));
				}
				Optional<ReplicaId> absent = longestAbsentVoter(current);
				if (previous.isEmpty() && inContact.test(member.id()) && absent.isPresent()) {
					return Optional.of(current.without(absent.get()));
				}
			}
		}
		return Optional.empty();
	}

	// A VM that was replaced for good by one with another name. Its voter counts for the
	// quorum until it is removed, so that two more losses would stop the log.
	private Optional<ReplicaId> longestAbsentVoter(Membership current) {
		return current.members()
			.stream()
			.filter(Member::voter)
			.map(Member::id)
			.filter((id) -> this.lastObservedAt
					- this.absentSince.getOrDefault(id, this.lastObservedAt) >= MAX_ABSENCE_NANOS)
			.min(Comparator.comparing(this.absentSince::get));
	}

	private boolean isCaughtUp(Member learner, long commitIndex, ToLongFunction<ReplicaId> matchIndex) {
		// The membership that lists the learner is committed, so this point is after it.
		long target = this.catchUpTargets.computeIfAbsent(learner.id(), (id) -> commitIndex);
		return matchIndex.applyAsLong(learner.id()) >= target;
	}

	private Optional<Membership> addOrRemoveLearner(Membership current, Predicate<ReplicaId> inContact) {
		if (this.joinRequests.isEmpty()) {
			return Optional.empty();
		}
		Member member = this.joinRequests.values().iterator().next();
		// A learner of the same VM that lost its disk again will never catch up.
		Optional<Member> previous = current.members()
			.stream()
			.filter((other) -> !other.voter() && other.vm().equals(member.vm()))
			.findFirst();
		if (previous.isPresent() && inContact.test(previous.get().id())) {
			// Two processes with the name of one VM would replace each other for ever.
			this.joinRequests.remove(member.vm());
			return Optional.empty();
		}
		if (previous.isPresent()) {
			return Optional.of(current.without(previous.get().id()));
		}
		if (current.members().size() >= MAX_MEMBERS) {
			return Optional.empty();
		}
		return Optional.of(current.with(member));
	}

	/**
	 * Return whether a replica has the place that it will keep: that of a voter, or that
	 * of a spare learner while the voters of other VMs fill all places. A learner that is
	 * to be promoted is not settled, and until then its VM counts for no quorum: the loss
	 * of another voter would stop the log.
	 * @param current the membership in force
	 * @param id the replica
	 * @return whether it is listed and no step of this class is due for it
	 */
	public static boolean isSettled(Membership current, ReplicaId id) {
		Optional<Member> member = current.member(id);
		return member.isPresent() && (member.get().voter()
				|| (current.voters().size() >= MAX_VOTERS && previousVoter(current, member.get()).isEmpty()));
	}

	private static Optional<Member> previousVoter(Membership current, Member learner) {
		return current.members()
			.stream()
			.filter((other) -> other.voter() && other.vm().equals(learner.vm()))
			.findFirst();
	}

}
