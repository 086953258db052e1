package org.acaciacourse.daemon.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.acaciacourse.core.consensus.Member;
import org.acaciacourse.core.consensus.Membership;
import org.acaciacourse.daemon.codec.ReplicaCodec;
import org.acaciacourse.protocol.generated.PeerDescription;

/**
 * Decides what a replica with an empty folder does. It may be one of the first start, or
 * one that lost its disk and finds its old list of founders in its settings; a second
 * founding would make a second system beside the first and bring the configuration back
 * to nothing.
 * <p>
 * So it founds only if every other founder has answered, and none of them holds a log.
 * The identities in the first membership are those they answered with; these lie on their
 * disks, so all that found at that time found with the same ones. While it asks, it takes
 * no part in elections. It is not enough if a majority of the founders lose their disks
 * before the others have taken part; those had the only copies.
 * <p>
 * Thread safe: it has no state.
 */
final class Bootstrap {

	private Bootstrap() {
	}

	/**
	 * Decide.
	 * @param self this replica
	 * @param initialMembers the addresses of the founders
	 * @param descriptions what the other founders answered; silent ones are missing
	 * @param mayBootstrap whether the whole system starts for the first time; at any
	 * later start an empty folder is a lost one, and there is a log to join
	 * @return what to do
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
	 * The steps of a replica with an empty folder.
	 */
	enum Step {

		/** Some founders are silent: ask again. */
		ASK_AGAIN,

		/** Found the log. */
		FOUND,

		/** A log exists: wait for its leader, and ask to be let in. */
		JOIN

	}

	/**
	 * What to do.
	 *
	 * @param step the step
	 * @param membership the first membership, for {@link Step#FOUND}
	 */
	record Decision(Step step, Optional<Membership> membership) {
	}

}
