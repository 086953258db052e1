package org.acaciacourse.daemon.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.acaciacourse.core.consensus.Member;
import org.acaciacourse.core.consensus.Membership;
import org.acaciacourse.daemon.codec.ReplicaCodec;
import org.acaciacourse.protocol.generated.PeerDescription;

/**
 * Decides what a replica with an empty data folder does. The system may be starting for
 * the first time, or the replica may have lost its disk while its settings still list it
 * as an initial member. A second bootstrap would create a second cluster beside the first
 * one, with an empty configuration.
 * <p>
 * The replica therefore bootstraps the log only if every other initial member has
 * responded and none of them has a log. The first membership contains the identities from
 * these responses. They are stored on the members' disks, so that all replicas that
 * bootstrap at that time use the same ones. Until the decision the replica takes no part
 * in elections. This does not protect against the loss of the disks of a majority of the
 * initial members before the others have taken part, since those disks held the only
 * copies.
 * <p>
 * Thread safe: it has no state.
 */
final class Bootstrap {

	private Bootstrap() {
	}

	/**
	 * Decide on the next step.
	 * @param self this replica
	 * @param initialMembers the addresses of the initial members
	 * @param descriptions the responses of the other initial members, without those that
	 * did not respond
	 * @param mayBootstrap whether the whole system starts for the first time; at a later
	 * start an empty data folder means that its contents were lost, and there is a log to
	 * join
	 * @return the decision
	 */
	static Decision decide(Member self, List<String> initialMembers, List<PeerDescription> descriptions,
			boolean mayBootstrap) {
		if (descriptions.stream().anyMatch(PeerDescription::isFounded)) {
			return new Decision(Step.JOIN, Optional.empty());
		}
		if (!mayBootstrap) {
			return new Decision(Step.ASK_AGAIN, Optional.empty());
		}
		List<Member> members = new ArrayList<>();
		if (initialMembers.contains(self.address())) {
			members.add(new Member(self.id(), self.vm(), self.address(), true));
		}
		for (PeerDescription description : descriptions) {
			Member peer = ReplicaCodec.decode(description.getMember());
			members.add(new Member(peer.id(), peer.vm(), peer.address(), true));
		}
		List<String> answered = members.stream().map(Member::address).sorted().toList();
		boolean all = answered.equals(initialMembers.stream().sorted().toList());
		long vmNames = members.stream().map(Member::vm).distinct().count();
		if (!all || !initialMembers.contains(self.address()) || vmNames != initialMembers.size()) {
			return new Decision(Step.ASK_AGAIN, Optional.empty());
		}
		return new Decision(Step.FOUND, Optional.of(new Membership(members)));
	}

	/**
	 * The steps of a replica with an empty data folder.
	 */
	enum Step {

		/**
		 * Query the initial members again: some did not respond, or bootstrap is not
		 * allowed.
		 */
		ASK_AGAIN,

		/** Bootstrap the log with the first membership. */
		FOUND,

		/** Join the existing log: wait for its leader and request to become a member. */
		JOIN

	}

	/**
	 * The decision.
	 *
	 * @param step the step
	 * @param membership the first membership, for {@link Step#FOUND}
	 */
	record Decision(Step step, Optional<Membership> membership) {
	}

}
