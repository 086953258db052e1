package org.acaciacourse.daemon.duty;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionStage;

import org.acaciacourse.core.route.Fleet;
import org.acaciacourse.core.route.Pool;
import org.acaciacourse.core.scaling.FleetDemand;
import org.acaciacourse.core.scaling.PoolProvision;
import org.acaciacourse.core.state.CommandResult.ProvisionResult;

/**
 * What the orders of endpoints are based on.
 * <p>
 * Thread safe.
 */
public interface ProvisionStore {

	/**
	 * Return the endpoints that the platform lists.
	 * @return the endpoints, {@link Fleet#NONE} if they are not known
	 */
	Fleet fleet();

	/**
	 * Return what entry VMs have told of the demand of their callers.
	 * @return the sum over all entry VMs, {@link FleetDemand#NONE} if none tell it
	 */
	FleetDemand demand();

	/**
	 * Return the pools of the configuration in force.
	 * @return the pools
	 */
	List<Pool> pools();

	/**
	 * Read the provisions that are recorded.
	 * @return the provisions by the names of the pools; fails if they cannot be read
	 */
	CompletionStage<Map<String, PoolProvision>> provisions();

	/**
	 * Record the provision of a pool.
	 * @param pool the name of the pool
	 * @param provision the provision
	 * @return what holds for the pool; fails if the outcome is unknown
	 */
	CompletionStage<ProvisionResult> record(String pool, PoolProvision provision);

}
