package org.acaciacourse.core.state;

import java.util.Objects;

/**
 * The key that identifies a claim.
 * <p>
 * Immutable and thread safe.
 *
 * @param customer the name of the customer
 * @param idempotencyKey the idempotency key that the caller sent
 */
public record ClaimKey(String customer, String idempotencyKey) {

	public ClaimKey {
		Objects.requireNonNull(customer, "customer");
		Objects.requireNonNull(idempotencyKey, "idempotencyKey");
	}

}
