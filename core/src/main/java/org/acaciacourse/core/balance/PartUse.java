package org.acaciacourse.core.balance;

import java.util.Objects;

/**
 * The use of a prompt part at an endpoint: a request with that part was sent to it.
 * <p>
 * Immutable and thread safe.
 *
 * @param endpoint the id of the endpoint, {@link PeerLoads#idOf}
 * @param part the part
 */
public record PartUse(int endpoint, PromptShape.Part part) {

	public PartUse {
		Objects.requireNonNull(part, "part");
	}

	// Written by hand: the generated methods are linked at their first use, which takes
	// some tens of milliseconds and delays the first callers after a start.
	@Override
	public boolean equals(Object other) {
		return this == other
				|| (other instanceof PartUse that && this.endpoint == that.endpoint && this.part.equals(that.part));
	}

	@Override
	public int hashCode() {
		int hash = this.endpoint;
		hash = 31 * hash + this.part.hashCode();
		return hash;
	}

}
