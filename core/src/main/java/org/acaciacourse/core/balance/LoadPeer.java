package org.acaciacourse.core.balance;

import java.util.Objects;

/**
 * An entry VM that takes part in the exchange of loads.
 * <p>
 * Immutable and thread safe.
 *
 * @param address where it receives digests
 * @param dataCentre its data centre, empty if unknown
 */
public record LoadPeer(String address, String dataCentre) {

	public LoadPeer {
		Objects.requireNonNull(address, "address");
		Objects.requireNonNull(dataCentre, "dataCentre");
	}

}
