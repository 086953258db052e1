package org.acaciacourse.core.balance;

/**
 * The connections that one entry VM may use at each endpoint of a pool. Each VM has an
 * equal part for itself. Callers may all be at one VM, so that a VM may also use
 * connections that no VM uses, in proportion to its part of the requests that are known
 * at the endpoint: if all VMs did so with the same knowledge, together they would use no
 * more than there are.
 * <p>
 * Immutable and thread safe.
 *
 * @param own the connections that this VM may use in any case
 * @param shared up to how many connections of all VMs together this one may use others
 */
public record ConnectionShare(int own, int shared) {

	/** All connections are for the only VM. */
	public static final ConnectionShare UNLIMITED = new ConnectionShare(Integer.MAX_VALUE, Integer.MAX_VALUE);

	/**
	 * The part of an endpoint's connections that is divided among the VMs. The rest is
	 * for VMs that are not counted yet.
	 */
	private static final double DIVIDED = 0.8;

	/**
	 * The part up to which VMs use the connections of others. The rest is for VMs that
	 * begin to use their own, and for connections that others keep idle.
	 */
	private static final double SHARED = 0.5;

	public ConnectionShare {
		if (own < 1 || shared < 0) {
			throw new IllegalArgumentException("invalid share of " + own + " and " + shared + " connections");
		}
	}

	/**
	 * Divide the connections of an endpoint.
	 * @param maxConnections the connections that the endpoint accepts
	 * @param vms the number of VMs
	 * @return the share of each
	 */
	public static ConnectionShare of(int maxConnections, int vms) {
		return new ConnectionShare(Math.max(1, (int) (maxConnections * DIVIDED / vms)),
				(int) (maxConnections * SHARED));
	}

	/**
	 * Return whether this VM may use one more connection.
	 * @param used the connections that it uses
	 * @param usedByOthers the connections that the other VMs are known to use
	 * @return whether there is one left for it
	 */
	boolean hasLeft(int used, int usedByOthers) {
		if (used < this.own) {
			return true;
		}
		double part = (double) used / (used + usedByOthers);
		return used - this.own < (this.shared - this.own - usedByOthers) * part;
	}

}
