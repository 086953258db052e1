package org.acaciacourse.daemon.route;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;

import io.netty.handler.codec.http.HttpHeaders;
import org.acaciacourse.core.balance.PromptShape;

/**
 * Reads and writes the request and response headers by which callers, the system and
 * endpoints exchange metadata. Header names are known only to its implementation.
 * <p>
 * Thread safe: implementations have no state.
 */
public interface RequestDialect {

	/**
	 * Read the metadata in a caller's request.
	 * @param headers the headers of the request
	 * @return the metadata; a value that can't be parsed counts as missing
	 */
	RequestMetadata readRequest(HttpHeaders headers);

	/**
	 * Remove the headers that must not reach an endpoint: the customer's key and the
	 * headers that the system sets itself, in case the caller sent them.
	 * @param headers the headers, without hop-by-hop ones
	 */
	void removeReservedHeaders(HttpHeaders headers);

	/**
	 * Add the system's metadata to the headers for an endpoint.
	 * @param metadata the metadata
	 * @param headers the headers, without reserved ones
	 */
	void writeRequest(ForwardMetadata metadata, HttpHeaders headers);

	/**
	 * Read the metadata in an endpoint's response.
	 * @param headers the headers of the response
	 * @return the metadata
	 */
	ResponseMetadata readResponse(HttpHeaders headers);

	/**
	 * Write the delay after which a caller should retry.
	 * @param delay the delay
	 * @param headers the headers of a refusal
	 */
	void writeRetryAfter(Duration delay, HttpHeaders headers);

	/**
	 * Metadata that a caller sends with its request.
	 *
	 * @param id the request's id, empty if it has none
	 * @param key the customer's key, if there is one
	 * @param callerTimeoutMillis how long the caller waits, in milliseconds
	 * @param lastEventId the id of the last event that the caller has received, if it
	 * resumes a stream
	 * @param resumedRequest the id of the request that brought the caller the first event
	 * of the stream, if it resumes one
	 * @param prompt the prompt
	 */
	record RequestMetadata(String id, Optional<String> key, OptionalLong callerTimeoutMillis, OptionalLong lastEventId,
			Optional<String> resumedRequest, PromptShape prompt) {
	}

	/**
	 * Metadata that the system sends to an endpoint.
	 *
	 * @param instance the instance that the request is meant for
	 * @param customer the customer, if the request has a key
	 * @param remainingMillis the time until the deadline, in milliseconds
	 * @param urgency the rank of the request, 0 is the highest
	 * @param resumeAfter the id of the last event that the caller has received, if the
	 * stream is resumed
	 * @param engine whether the endpoint is a model engine
	 */
	record ForwardMetadata(String instance, Optional<String> customer, long remainingMillis, int urgency,
			OptionalLong resumeAfter, boolean engine) {
	}

	/**
	 * Metadata that an endpoint sends with its response.
	 *
	 * @param requestId the id of the request that it responds to, empty if it has none
	 * @param sealed whether it carries the endpoint's seal
	 * @param notRun whether it states that the request was not run
	 * @param load the load, if it is reported
	 * @param refusalLimit how many refusals within a second the endpoint endures, if
	 * there is a limit now
	 * @param rateLimit how many requests per second the endpoint takes from all VMs
	 * together, if there is a limit now
	 * @param idleTimeoutSeconds how long the endpoint keeps an idle connection, if it is
	 * stated
	 * @param retryAfter for how long the endpoint wants no requests from this VM, if it
	 * states that
	 * @param leaving whether the endpoint states that it is leaving
	 */
	record ResponseMetadata(String requestId, boolean sealed, boolean notRun, Optional<ReportedLoad> load,
			OptionalInt refusalLimit, OptionalDouble rateLimit, OptionalInt idleTimeoutSeconds,
			Optional<Duration> retryAfter, boolean leaving) {
	}

	/**
	 * The load that an endpoint reports.
	 *
	 * @param running the number of requests that run
	 * @param waiting the number of requests that wait
	 * @param slots how many requests can run at once
	 * @param pace how long work takes on the endpoint's machine now, in percent of the
	 * usual time, if it is stated
	 */
	record ReportedLoad(int running, int waiting, int slots, OptionalInt pace) {
	}

}
