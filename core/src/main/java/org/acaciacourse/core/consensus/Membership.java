package org.acaciacourse.core.consensus;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The members of the replicated log. It changes by one member at a time.
 * <p>
 * Immutable and thread safe.
 *
 * @param members the members in order of their identities
 */
public record Membership(List<Member> members) {

	public Membership {
		members = members.stream().sorted((a, b) -> a.id().compareTo(b.id())).toList();
	}

	/**
	 * Find a member.
	 * @param id its identity
	 * @return the member, if it is listed
	 */
	public Optional<Member> member(ReplicaId id) {
		return this.members.stream().filter((member) -> member.id().equals(id)).findFirst();
	}

	/**
	 * Return the identities that count for quorums.
	 * @return the voters
	 */
	public Set<ReplicaId> voters() {
		return this.members.stream().filter(Member::voter).map(Member::id).collect(Collectors.toUnmodifiableSet());
	}

	/**
	 * Return whether some replicas hold a majority of the voters.
	 * @param replicas the replicas
	 * @return whether they are a quorum
	 */
	public boolean isQuorum(Collection<ReplicaId> replicas) {
		Set<ReplicaId> voters = voters();
		long count = voters.stream().filter(replicas::contains).count();
		return count > voters.size() / 2;
	}

}
