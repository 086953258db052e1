package org.acaciacourse.core.balance;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

import net.openhft.hashing.LongHashFunction;

/**
 * The two endpoints that rendezvous hashing (Thaler and Ravishankar, 1998) ranks highest
 * for the shared parts of a prompt, the same at all entry VMs. Two choices keep the
 * queues of a skewed load even where one does not (Mitzenmacher, The Power of Two Choices
 * in Randomized Load Balancing, 2001), and two places for a part keep the number of its
 * copies bounded.
 * <p>
 * Immutable and thread safe.
 *
 * @param first the endpoint that reads the parts, none if the prompt shares none
 * @param second the one that helps it
 * @param held whether the first one has read the parts already
 */
record Homes(Optional<EndpointLoad> first, Optional<EndpointLoad> second, boolean held) {

	static final Homes NONE = new Homes(Optional.empty(), Optional.empty(), false);

	private static final LongHashFunction HASH = LongHashFunction.xx3();

	/**
	 * Find the homes of a prompt.
	 * @param shape the prompt
	 * @param usable the endpoints that may get it
	 * @param eligible tells which of them may be a home
	 * @return the homes
	 */
	static Homes of(PromptShape shape, List<EndpointLoad> usable, Predicate<EndpointLoad> eligible) {
		long key = shape.sharedId();
		EndpointLoad first = null;
		EndpointLoad second = null;
		long highest = 0;
		long next = 0;
		for (EndpointLoad load : usable) {
			if (!eligible.test(load)) {
				continue;
			}
			long weight = HASH.hashLong(key ^ Long.rotateLeft(load.hash(), 32));
			if (first == null || Long.compareUnsigned(weight, highest) > 0) {
				second = first;
				next = highest;
				first = load;
				highest = weight;
			}
			else if (second == null || Long.compareUnsigned(weight, next) > 0) {
				second = load;
				next = weight;
			}
		}
		boolean held = first != null && first.memory().held(shape) == shape.sharedTokens();
		return new Homes(Optional.ofNullable(first), Optional.ofNullable(second), held);
	}

	/**
	 * Return by how much the queue of the first one is longer.
	 * @return the difference in prompt tokens, 0 without a second one
	 */
	long queueDifference() {
		return this.second.map((other) -> this.first.get().waitingWork() - other.waitingWork()).orElse(0L);
	}

	Homes withoutSecond() {
		return new Homes(this.first, Optional.empty(), this.held);
	}

	boolean contains(EndpointLoad load) {
		return is(this.first, load) || is(this.second, load);
	}

	private static boolean is(Optional<EndpointLoad> home, EndpointLoad load) {
		return home.isPresent() && home.get() == load;
	}

	/**
	 * Return what an endpoint is to the parts.
	 * @param load the endpoint
	 * @param holdsAll whether it holds all of them
	 * @return what it is; where there are no homes all are the first one
	 */
	HomeOfParts role(EndpointLoad load, boolean holdsAll) {
		if (holdsAll || this.first.isEmpty() || is(this.first, load)) {
			return HomeOfParts.FIRST;
		}
		if (is(this.second, load)) {
			return (this.held) ? HomeOfParts.SECOND : HomeOfParts.FIRST;
		}
		return HomeOfParts.NONE;
	}

}
