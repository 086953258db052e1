package org.acaciacourse.core.balance;

import java.util.Objects;

/**
 * A part of a prompt that an endpoint was sent.
 * <p>
 * Immutable and thread safe.
 *
 * @param endpoint the short name of the endpoint, {@link PeerLoads#idOf}
 * @param part the part
 */
public record PartUse(int endpoint, PromptShape.Part part) {

	public PartUse {
		Objects.requireNonNull(part, "part");
	}

	// By hand, as the generated methods are put together at their first use: some tens of
	// milliseconds, which callers wait for after a start.
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
