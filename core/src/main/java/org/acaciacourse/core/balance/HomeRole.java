package org.acaciacourse.core.balance;

/**
 * The role of an endpoint for the shared parts of a prompt.
 * <p>
 * Immutable and thread safe.
 */
enum HomeRole {

	/** It has the parts in its cache, or is the one to prefill them. */
	PRIMARY,

	/** It prefills the parts once more if the queue of the primary is long. */
	SECONDARY,

	/** The parts are prefilled there only if no other endpoint is left. */
	NONE

}
