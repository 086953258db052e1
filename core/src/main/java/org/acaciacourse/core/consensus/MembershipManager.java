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
 * Decides the next membership change while this replica leads. A replica that is not in
 * the membership joins as a learner. Once it has caught up, it replaces the previous
 * voter of its VM, or a voter that has been out of contact for too long. A replica's
 * identifier is tied to its disk, so that a replica which lost its disk, and with it its
 * votes and acknowledged entries, is never mistaken for the previous one.
 * <p>
 * The steps are: add the learner; wait until its log contains an index that was committed
 * after it was added; remove the VM's previous voter; promote the learner. The previous
 * voter is removed before the promotion because it is lost already, while promoting first
 * would enlarge the quorum and make it depend on the new replica. Each step follows from
 * the committed membership alone, so that a new leader continues where the previous one
 * stopped. Only the catch-up target is chosen again, at a later index.
 * <p>
 * Invariants: there is one change at a time; no change is proposed before the current
 * membership is committed; a learner is promoted only after its log contains an index
 * that was committed after it was added.
 * <p>
 * Not thread safe: called on the replica's thread. The state belongs to one leadership
 * and is cleared by {@link #leadershipLost()}.
 */
public final class MembershipManager {

	/** Five voters tolerate two failures; more voters only slow down commits. */
	static final int MAX_VOTERS = 5;

	static final int MAX_MEMBERS = 2 * MAX_VOTERS;

	/**
	 * The time without contact after which a voter is replaced by a replica of a new VM.
	 * A killed process restarts in less time. A voter that is only partitioned loses
	 * nothing but its membership, and joins again.
	 */
	static final long MAX_ABSENCE_NANOS = 2_000_000_000L;

	private final Map<String, Member> joinRequests = new LinkedHashMap<>();

	private final Map<ReplicaId, Long> catchUpTargets = new HashMap<>();

	private final Map<ReplicaId, Long> absentSince = new HashMap<>();

	private long lastObservedAt;

	/**
	 * Record a join request from a replica that has an empty disk, or that was removed
	 * from the membership while it was out of contact. The replica repeats the request
	 * until a leader replicates to it.
	 * @param member the replica
	 * @return whether the request is recorded; it is rejected if too many requests are
	 * pending
	 */
	public boolean addJoinRequest(Member member) {
		if (this.joinRequests.size() >= MAX_MEMBERS && !this.joinRequests.containsKey(member.vm())) {
			return false;
		}
		this.joinRequests.put(member.vm(), new Member(member.id(), member.vm(), member.address(), false));
		return true;
	}

	/**
	 * Discard the state of this leadership.
	 */
	public void leadershipLost() {
		this.joinRequests.clear();
		this.catchUpTargets.clear();
		this.absentSince.clear();
	}

	/**
	 * Record which voters are in contact. Called before {@link #nextMembership}.
	 * @param current the current membership
	 * @param inContact whether a member has replied recently
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
	 * @param id the identifier of the voter
	 * @return the duration up to the last {@link #observe} call, or empty if the replica
	 * was in contact then or is not a voter
	 */
	public Optional<Duration> absence(ReplicaId id) {
		return Optional.ofNullable(this.absentSince.get(id))
			.map((since) -> Duration.ofNanos(this.lastObservedAt - since));
	}

	/**
	 * Decide the next change. The caller proposes it by
	 * {@link ReplicatedLog#changeMembership} and calls this method again later in any
	 * case.
	 * @param current the current membership
	 * @param committed whether it is committed
	 * @param commitIndex the leader's commit index
	 * @param matchIndex the highest index up to which each member's log is known to match
	 * @param inContact whether a member has replied recently; a voter that has replied
	 * still has its disk, even if another process uses the name of its VM
	 * @return the next membership, or empty if no change is due
	 */
	public Optional<Membership> nextMembership(Membership current, boolean committed, long commitIndex,
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

	// A voter whose VM was permanently replaced by one with another name. It counts
	// towards the quorum until it is removed, so that two more failures would stop the
	// log.
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
		// The membership that lists the learner is committed, so this index was committed
		// after the learner was added.
		long target = this.catchUpTargets.computeIfAbsent(learner.id(), (id) -> commitIndex);
		return matchIndex.applyAsLong(learner.id()) >= target;
	}

	private Optional<Membership> addOrRemoveLearner(Membership current, Predicate<ReplicaId> inContact) {
		if (this.joinRequests.isEmpty()) {
			return Optional.empty();
		}
		Member member = this.joinRequests.values().iterator().next();
		// A learner of the same VM that has lost its disk again will never catch up.
		Optional<Member> previous = current.members()
			.stream()
			.filter((other) -> !other.voter() && other.vm().equals(member.vm()))
			.findFirst();
		if (previous.isPresent() && inContact.test(previous.get().id())) {
			// Two processes configured with the name of the same VM would replace each
			// other endlessly.
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
	 * Return whether a replica has its final role: it is a voter, or a spare learner
	 * while other VMs hold all voter places. A learner that is still to be promoted does
	 * not have its final role. Its VM counts towards no quorum until the promotion, and
	 * the loss of another voter would stop the log.
	 * @param current the current membership
	 * @param id the replica
	 * @return whether it is listed and this class has no further step for it
	 */
	public static boolean hasFinalRole(Membership current, ReplicaId id) {
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
