package org.acaciacourse.core.balance;

/**
 * What an endpoint is to the shared parts of a prompt.
 * <p>
 * Immutable and thread safe.
 */
enum HomeRole {

	/** It holds them, or is the one to read them. */
	PRIMARY,

	/** It reads them once more if the queue of the first one is long. */
	SECONDARY,

	/** They are read there only if nothing else is left. */
	NONE

}
