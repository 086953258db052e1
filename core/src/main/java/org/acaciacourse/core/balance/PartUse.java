package org.acaciacourse.core.balance;

import java.util.Objects;

/**
 * A part of a prompt that an endpoint was sent.
 * <p>
 * Immutable and thread safe.
 *
 * @param endpoint the short name of the endpoint, {@link PeerLoads#nameOf}
 * @param part the part
 */
public record PartUse(int endpoint, PromptShape.Part part) {

	public PartUse {
		Objects.requireNonNull(part, "part");
	}

}
