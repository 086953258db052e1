package org.acaciacourse.core.consensus;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;

/**
 * The members of the replicated log. It changes by one member at a time, as in Raft's
 * single-server membership changes.
 * <p>
 * Immutable and thread safe.
 *
 * @param members the members, sorted by identifier
 */
public record Membership(List<Member> members) {

	public Membership {
		members = members.stream().sorted((a, b) -> a.id().compareTo(b.id())).toList();
	}

	/**
	 * Find a member.
	 * @param id its identifier
	 * @return the member, if it is listed
	 */
	public Optional<Member> member(ReplicaId id) {
		for (Member member : this.members) {
			if (member.id().equals(id)) {
				return Optional.of(member);
			}
		}
		return Optional.empty();
	}

	/**
	 * Return the identifiers of the voters, which are the members that count towards
	 * quorums.
	 * @return the voters
	 */
	public Set<ReplicaId> voters() {
		return this.members.stream().filter(Member::voter).map(Member::id).collect(Collectors.toUnmodifiableSet());
	}

	/**
	 * Return whether a replica is a voter.
	 * @param id its identifier
	 * @return whether it is listed as a voter
	 */
	public boolean isVoter(ReplicaId id) {
		for (Member member : this.members) {
			if (member.voter() && member.id().equals(id)) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Return whether a set of replicas contains a majority of the voters.
	 * @param replicas the replicas
	 * @return whether they are a quorum
	 */
	public boolean isQuorum(Collection<ReplicaId> replicas) {
		int voters = 0;
		int matching = 0;
		for (Member member : this.members) {
			voters += (member.voter()) ? 1 : 0;
			matching += (member.voter() && replicas.contains(member.id())) ? 1 : 0;
		}
		return matching > voters / 2;
	}

	/**
	 * Compute the highest value that a majority of the voters has reached.
	 * @param valueOf the value of a voter
	 * @return that value, 0 if there are no voters
	 */
	public long reachedByQuorum(ToLongFunction<ReplicaId> valueOf) {
		long[] values = new long[this.members.size()];
		int voters = 0;
		for (Member member : this.members) {
			if (member.voter()) {
				values[voters] = valueOf.applyAsLong(member.id());
				voters++;
			}
		}
		Arrays.sort(values, 0, voters);
		return (voters == 0) ? 0 : values[(voters - 1) / 2];
	}

	/**
	 * Return whether another membership differs from this one by a single permitted
	 * change: a learner is added, a member is removed, a learner is promoted, a voter is
	 * demoted or an address is changed. The quorums before and after such a change
	 * overlap.
	 * @param next the other membership
	 * @return whether it differs by one such change and has a voter
	 */
	public boolean isSingleMemberChange(Membership next) {
		List<Member> added = next.members.stream().filter((member) -> !this.members.contains(member)).toList();
		List<Member> removed = this.members.stream().filter((member) -> !next.members.contains(member)).toList();
		if (next.voters().isEmpty() || added.size() > 1 || removed.size() > 1) {
			return false;
		}
		if (added.isEmpty()) {
			return removed.size() == 1;
		}
		return (removed.isEmpty()) ? !added.get(0).voter() : added.get(0).id().equals(removed.get(0).id());
	}

	/**
	 * Return this membership with a member added, or replaced if its identifier is
	 * already listed.
	 * @param member the member
	 * @return the next membership
	 */
	public Membership with(Member member) {
		List<Member> next = new ArrayList<>(without(member.id()).members);
		next.add(member);
		return new Membership(next);
	}

	/**
	 * Return this membership without a member.
	 * @param id its identifier
	 * @return the next membership
	 */
	public Membership without(ReplicaId id) {
		return new Membership(this.members.stream().filter((member) -> !member.id().equals(id)).toList());
	}

	// Written out because the generated methods of a record are linked on first use. That
	// takes tens of milliseconds, which clients would wait for after a start.
	@Override
	public boolean equals(Object other) {
		return this == other || (other instanceof Membership that && this.members.equals(that.members));
	}

	@Override
	public int hashCode() {
		return this.members.hashCode();
	}

}
