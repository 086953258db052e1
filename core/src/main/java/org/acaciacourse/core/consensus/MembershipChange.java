package org.acaciacourse.core.consensus;

import java.util.Objects;

/**
 * The change of a single member between two consecutive memberships.
 * <p>
 * Immutable and thread safe.
 *
 * @param kind the kind of the change
 * @param member the member as listed in the later membership, or in the earlier one if it
 * is removed
 */
public record MembershipChange(Kind kind, Member member) {

	public MembershipChange {
		Objects.requireNonNull(kind, "kind");
		Objects.requireNonNull(member, "member");
	}

	/**
	 * Return the change that leads from one membership to the next.
	 * @param current the earlier membership
	 * @param next the later membership, which differs in one member
	 * @return the change
	 * @throws IllegalArgumentException if the memberships are equal
	 */
	public static MembershipChange between(Membership current, Membership next) {
		for (Member member : next.members()) {
			if (!current.members().contains(member)) {
				Kind kind = current.member(member.id()).isPresent() ? Kind.UPDATE : Kind.ADD;
				return new MembershipChange(kind, member);
			}
		}
		return current.members()
			.stream()
			.filter((member) -> next.member(member.id()).isEmpty())
			.findFirst()
			.map((member) -> new MembershipChange(Kind.REMOVE, member))
			.orElseThrow(() -> new IllegalArgumentException("the memberships are equal"));
	}

	/**
	 * The kind of a change.
	 */
	public enum Kind {

		/** The member is added as a learner. */
		ADD,

		/** The member is promoted to a voter, or its address changes. */
		UPDATE,

		/** The member is removed. */
		REMOVE

	}

}
