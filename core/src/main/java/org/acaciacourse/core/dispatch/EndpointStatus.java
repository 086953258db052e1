package org.acaciacourse.core.dispatch;

/**
 * The status of an endpoint according to membership.
 * <p>
 * Immutable and thread safe.
 */
public enum EndpointStatus {

	/** May receive new requests. */
	LIVE,

	/** Completes its current requests and receives no new ones. */
	LEAVING,

	/** No longer exists; its running requests are lost. */
	GONE;

	/**
	 * Return whether the endpoint may receive new requests.
	 * @return whether new requests are permitted
	 */
	public boolean acceptsRequests() {
		return this == LIVE;
	}

}
