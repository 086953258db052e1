package org.acaciacourse.daemon.control;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.acaciacourse.core.consensus.Member;
import org.acaciacourse.core.consensus.Membership;
import org.acaciacourse.core.consensus.MembershipChange;
import org.acaciacourse.core.consensus.MembershipManager;
import org.acaciacourse.core.consensus.ReplicaId;
import org.acaciacourse.core.consensus.ReplicaStatus;
import org.acaciacourse.daemon.telemetry.DecisionLog;
import org.acaciacourse.daemon.telemetry.LogEvent;

/**
 * Writes a replica's role, membership and election events to the decision log.
 * <p>
 * Not thread safe: only the replica's thread calls it.
 */
final class ReplicaDecisionLog {

	/** The shortest interval between two log lines on an undecided election. */
	private static final long ELECTION_LOG_NANOS = 2_000_000_000L;

	private Optional<ReplicaView> lastWritten = Optional.empty();

	private long electionWrittenAt;

	ReplicaDecisionLog(long now) {
		this.electionWrittenAt = now;
	}

	/**
	 * Write the role and the members if they have changed since the last call. The first
	 * call writes both.
	 * @param next the current state of the replica
	 */
	void writeChanges(ReplicaView next) {
		ReplicaStatus status = next.status();
		if (this.lastWritten.map(ReplicaView::status).filter((last) -> isSameLeadership(last, status)).isEmpty()) {
			DecisionLog.write(LogEvent.LEADER, status.role().name(), status.term(),
					status.leader().map(Member::vm).orElse(null));
		}
		Membership membership = next.membership();
		if (this.lastWritten.map(ReplicaView::membership).filter(membership::equals).isEmpty()) {
			DecisionLog.write(LogEvent.MEMBERS, vmNames(membership.members(), (member) -> true));
		}
		this.lastWritten = Optional.of(next);
	}

	private static boolean isSameLeadership(ReplicaStatus a, ReplicaStatus b) {
		return a.role() == b.role() && a.term() == b.term() && a.leader().equals(b.leader());
	}

	/**
	 * Write a membership change that this leader proposed.
	 * @param current the membership before the change
	 * @param next the membership after the change
	 * @param manager provides how long a voter has been out of contact
	 * @param term the leader's term
	 */
	void writeMembershipChange(Membership current, Membership next, MembershipManager manager, long term) {
		MembershipChange change = MembershipChange.between(current, next);
		Member member = change.member();
		DecisionLog.write(LogEvent.MEMBER_CHANGE, change.kind().name(), member.vm(), member.id().value(),
				member.voter(), manager.absence(member.id()).map((absence) -> absence.toMillis()).orElse(null), term);
	}

	/**
	 * Write the votes of an undecided election, at most once in
	 * {@link #ELECTION_LOG_NANOS}. The first interval starts when the replica starts.
	 * @param granted the voters that granted their vote
	 * @param membership the candidate's current membership
	 * @param term the candidate's term
	 * @param now the time in nanoseconds
	 */
	void writeOpenElection(Set<ReplicaId> granted, Membership membership, long term, long now) {
		if (now - this.electionWrittenAt < ELECTION_LOG_NANOS) {
			return;
		}
		this.electionWrittenAt = now;
		List<Member> voters = membership.members().stream().filter(Member::voter).toList();
		DecisionLog.write(LogEvent.ELECTION_OPEN, term, vmNames(voters, (voter) -> granted.contains(voter.id())),
				vmNames(voters, (voter) -> !granted.contains(voter.id())));
	}

	private static List<String> vmNames(List<Member> members, Predicate<Member> filter) {
		return members.stream()
			.filter(filter)
			.map((member) -> member.vm() + ((member.voter()) ? "" : " (learner)"))
			.toList();
	}

}
