package org.acaciacourse.daemon.link;

import java.util.Map;

import org.acaciacourse.core.scaling.PoolDemand;

/**
 * Tells the demand of the callers of this entry VM.
 * <p>
 * Thread safe.
 */
@FunctionalInterface
public interface DemandSource {

	/**
	 * Return the demand of the last second that is over.
	 * @param now the monotonic time in nanoseconds
	 * @return the demand by the names of the pools
	 */
	Map<String, PoolDemand> last(long now);

}
