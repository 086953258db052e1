package org.acaciacourse.daemon.codec;

import org.acaciacourse.core.scaling.PoolProvision;
import org.acaciacourse.protocol.generated.ProvisionRecord;

/**
 * Converts the provision of pools to and from the structs of the inner protocol.
 * <p>
 * Thread safe: stateless.
 */
public final class ProvisionCodec {

	private ProvisionCodec() {
	}

	/**
	 * Encode a provision.
	 * @param pool the name of the pool
	 * @param provision the provision
	 * @return the struct
	 */
	public static ProvisionRecord encode(String pool, PoolProvision provision) {
		return new ProvisionRecord(pool, provision.counts(), provision.replaced());
	}

	/**
	 * Decode a provision.
	 * @param struct the struct
	 * @return the provision, without the name of the pool
	 */
	public static PoolProvision decode(ProvisionRecord struct) {
		return new PoolProvision(struct.getCounts(), struct.getReplaced());
	}

}
