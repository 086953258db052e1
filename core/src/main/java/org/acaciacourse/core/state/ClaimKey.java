package org.acaciacourse.core.state;

import java.util.Objects;

/**
 * What a claim is filed under.
 * <p>
 * Immutable and thread safe.
 *
 * @param customer the name of the customer
 * @param idempotencyKey the key that the caller gave
 */
public record ClaimKey(String customer, String idempotencyKey) {

	public ClaimKey {
		Objects.requireNonNull(customer, "customer");
		Objects.requireNonNull(idempotencyKey, "idempotencyKey");
	}

}
