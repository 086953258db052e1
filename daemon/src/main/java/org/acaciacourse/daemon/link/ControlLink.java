package org.acaciacourse.daemon.link;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

import org.acaciacourse.core.balance.LoadPeer;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.dispatch.EndpointStatus;
import org.acaciacourse.core.model.Manifest;
import org.acaciacourse.core.route.Fleet;
import org.acaciacourse.core.route.RouteTable;
import org.acaciacourse.core.state.ClaimKey;
import org.acaciacourse.core.state.ClaimOutcome;
import org.acaciacourse.protocol.generated.ClassReport;

/**
 * An entry VM's link to the control VMs, for the configuration in force, claims and crash
 * reports. A link finds the leader, replaces connections that do not respond and never
 * passes a listener a configuration older than one it passed before.
 * <p>
 * Thread safe. Listeners are called on the link's own thread and must not block.
 */
public interface ControlLink extends AutoCloseable {

	/**
	 * Start to follow the configuration.
	 * @param listener the listener for changes
	 * @param reports supplies the results per policy and class for the next poll
	 */
	void start(Listener listener, Supplier<List<ClassReport>> reports);

	/**
	 * Start to follow the configuration, and tell the control VMs the demand of callers.
	 * @param listener the listener for changes
	 * @param reports supplies the results per policy and class for the next poll
	 * @param demand tells the demand; a link that does not pass it on ignores it
	 */
	default void start(Listener listener, Supplier<List<ClassReport>> reports, DemandSource demand) {
		start(listener, reports);
	}

	/**
	 * Notify the control VMs that this VM is leaving.
	 */
	void announceLeaving();

	/**
	 * Claim a request that must not be repeated. The stage never completes exceptionally:
	 * without a quorum it yields {@link ResultCode#CLAIM_UNAVAILABLE}.
	 * @param key the customer and the idempotency key
	 * @param contentHash a hash of method, path and body
	 * @param traceparent the trace context
	 * @return the result of the claim; the request may be sent only if it is granted
	 */
	CompletionStage<ClaimResult> claim(ClaimKey key, String contentHash, String traceparent);

	/**
	 * Record the outcome of a claimed request. Retried until it is committed or the link
	 * is closed.
	 * @param key the key of the claim
	 * @param outcome the outcome of the request
	 * @param response the complete response if it is to be stored, else empty
	 * @return a stage that completes with the result code once the outcome is committed
	 */
	CompletionStage<ResultCode> complete(ClaimKey key, ClaimOutcome outcome, byte[] response);

	/**
	 * Report proven crashes caused by a request content, so that all VMs refuse it.
	 * @param contentHash the hash of the customer and the content
	 * @param crashes the number of proven crashes
	 */
	void reportCrash(long contentHash, int crashes);

	@Override
	void close();

	/**
	 * The result of a claim.
	 *
	 * @param granted whether this call acquired the claim, so that the request may be
	 * sent
	 * @param code {@link ResultCode#OK} if granted or already answered, else the reason
	 * @param outcome the state of the first request with the key
	 * @param response the stored response, if there is one
	 */
	record ClaimResult(boolean granted, ResultCode code, ClaimOutcome outcome, Optional<byte[]> response) {
	}

	/**
	 * A listener for changes.
	 */
	interface Listener {

		/**
		 * A newer configuration is in force.
		 * @param manifest the manifest
		 */
		void manifestChanged(Manifest manifest);

		/**
		 * A newer route table is in force.
		 * @param table the table
		 */
		default void routesChanged(RouteTable table) {
		}

		/**
		 * A control VM reported the fleet. Also called if the fleet is unchanged, which
		 * confirms it.
		 * @param fleet the fleet
		 * @param readAt when the platform's list was read for it, or an earlier time;
		 * empty if that is not known
		 */
		default void fleetReceived(Fleet fleet, OptionalLong readAt) {
		}

		/**
		 * The live entry VMs were reported. They may be the same as before.
		 * @param peers the other entry VMs that receive load digests
		 */
		default void peersReceived(List<LoadPeer> peers) {
		}

		/**
		 * The control VMs were reported, for the first time or because they have changed.
		 * @param addresses the addresses of their internal servers
		 */
		default void controlsReceived(List<String> addresses) {
		}

		/**
		 * The configuration is confirmed to be the latest committed one; the VM may
		 * become ready.
		 */
		void upToDate();

		/**
		 * The status of an endpoint in the platform's list changed.
		 * @param endpoint the name of the endpoint
		 * @param status the new status
		 */
		void endpointStatusChanged(String endpoint, EndpointStatus status);

		/**
		 * A request content is proven to crash endpoints.
		 * @param contentHash the hash of the customer and the content
		 * @param crashes the number of proven crashes
		 */
		void crashReported(long contentHash, int crashes);

		/**
		 * The number of entry VMs that share the limits of customers changed.
		 * @param count the number of live entry VMs, at least 1
		 */
		void entryCountChanged(int count);

		/**
		 * A control VM reported the number of entry VMs again, unchanged.
		 */
		default void entryCountConfirmed() {
		}

	}

}
