package org.acaciacourse.daemon.duty;

import java.util.Objects;
import java.util.function.BooleanSupplier;

/**
 * The right to make a call to the platform.
 * <p>
 * Immutable and thread safe.
 *
 * @param holder the name of the VM that holds the duty
 * @param fencingNumber the fencing number of its lease
 * @param maySend returns whether the lease is still held, evaluated immediately before
 * the first byte is sent
 */
public record FencedCall(String holder, long fencingNumber, BooleanSupplier maySend) {

	public FencedCall {
		Objects.requireNonNull(holder, "holder");
		Objects.requireNonNull(maySend, "maySend");
	}

}
