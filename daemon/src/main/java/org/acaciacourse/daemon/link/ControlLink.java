package org.acaciacourse.daemon.link;

import java.util.List;
import java.util.Optional;
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
 * An entry VM's link to the control VMs: the configuration in force, claims and crash
 * reports. A link finds the leader, replaces silent connections and never hands a
 * listener an older configuration than one before.
 * <p>
 * Thread safe. Listeners are called on the link's own thread and must not block it.
 */
public interface ControlLink extends AutoCloseable {

	/**
	 * Begin to follow the configuration.
	 * @param listener gets what is new
	 * @param reports yields the results per policy and class for the next poll
	 */
	void start(Listener listener, Supplier<List<ClassReport>> reports);

	/**
	 * Tell control that this VM is leaving.
	 */
	void leaving();

	/**
	 * Claim a request that may not be repeated. The stage never fails: without a quorum
	 * it yields {@link ResultCode#CLAIM_UNAVAILABLE}.
	 * @param key who claims what
	 * @param contentHash a hash of method, path and body
	 * @param traceparent the trace context
	 * @return what became of the claim; only a granted one permits to send the request
	 */
	CompletionStage<ClaimResult> claim(ClaimKey key, String contentHash, String traceparent);

	/**
	 * Record how a claimed request ended. Repeated until it is committed or the link is
	 * closed.
	 * @param key the key of the claim
	 * @param outcome how it ended
	 * @param response the whole answer if it is to be kept, else empty
	 * @return ends once it is committed, with the code
	 */
	CompletionStage<ResultCode> complete(ClaimKey key, ClaimOutcome outcome, byte[] response);

	/**
	 * Report proven crashes of a content, so that it is refused on all VMs.
	 * @param contentHash the hash of the customer and the content
	 * @param crashes the number of proven crashes
	 */
	void reportCrash(long contentHash, int crashes);

	@Override
	void close();

	/**
	 * What became of a claim.
	 *
	 * @param granted whether this call made the claim, so that the request may be sent
	 * @param code {@link ResultCode#OK} if granted or answered before, else the reason
	 * @param outcome how the first request with the key stands
	 * @param answer the kept answer, if there is one
	 */
	record ClaimResult(boolean granted, ResultCode code, ClaimOutcome outcome, Optional<byte[]> answer) {
	}

	/**
	 * Gets what is new.
	 */
	interface Listener {

		/**
		 * A newer configuration is in force.
		 * @param manifest the manifest
		 */
		void manifest(Manifest manifest);

		/**
		 * A newer configuration of routes is in force.
		 * @param table the table
		 */
		default void routes(RouteTable table) {
		}

		/**
		 * A control VM told the fleet, be it the same as before: it is confirmed.
		 * @param fleet the fleet
		 */
		default void fleet(Fleet fleet) {
		}

		/**
		 * Which other entries are live, as of this call.
		 * @param peers the entries that take the load of others
		 */
		default void peers(List<LoadPeer> peers) {
		}

		/**
		 * The configuration is known to be the latest committed one as of this call; the
		 * VM may become ready.
		 */
		void upToDate();

		/**
		 * The platform's list says something new of an endpoint.
		 * @param endpoint the name of the endpoint
		 * @param status its status
		 */
		void endpointStatus(String endpoint, EndpointStatus status);

		/**
		 * A content is proven to crash endpoints.
		 * @param contentHash the hash of the customer and the content
		 * @param crashes the number of proven crashes
		 */
		void crash(long contentHash, int crashes);

		/**
		 * How many entry VMs share the limits of customers changed.
		 * @param count the number of live entry VMs, at least 1
		 */
		void entryCount(int count);

		/**
		 * Control told the number of entry VMs again, and it is the same.
		 */
		default void entryCountConfirmed() {
		}

	}

}
