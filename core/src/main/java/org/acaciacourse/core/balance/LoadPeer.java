package org.acaciacourse.core.balance;

import java.util.Objects;

/**
 * An entry VM that takes part in the exchange of loads.
 * <p>
 * Immutable and thread safe.
 *
 * @param address where it takes the load of others
 * @param dataCentre the data centre it is in, empty if that is not known
 */
public record LoadPeer(String address, String dataCentre) {

	public LoadPeer {
		Objects.requireNonNull(address, "address");
		Objects.requireNonNull(dataCentre, "dataCentre");
	}

}
