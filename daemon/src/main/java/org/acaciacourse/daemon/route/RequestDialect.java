package org.acaciacourse.daemon.route;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

import io.netty.handler.codec.http.HttpHeaders;
import org.acaciacourse.core.balance.PromptShape;

/**
 * Reads and writes what callers and endpoints say in headers. The only place that knows
 * their names.
 * <p>
 * Thread safe: implementations have no state.
 */
public interface RequestDialect {

	/**
	 * Read what a caller says of its request.
	 * @param headers the headers of the request
	 * @return what it says; a value that can't be read counts as missing
	 */
	RequestFacts request(HttpHeaders headers);

	/**
	 * Remove from the headers for an endpoint what may not pass: the customer's key and
	 * what the system sets itself, whatever the caller sent.
	 * @param headers the headers, without those of the connection
	 */
	void clean(HttpHeaders headers);

	/**
	 * Set in the headers for an endpoint what the system says.
	 * @param facts what it says
	 * @param headers the cleaned headers
	 */
	void write(SendFacts facts, HttpHeaders headers);

	/**
	 * Read what an endpoint says of its answer.
	 * @param headers the headers of the answer
	 * @return what it says
	 */
	AnswerFacts answer(HttpHeaders headers);

	/**
	 * Write when a caller should come back.
	 * @param delay the time
	 * @param headers the headers of a refusal
	 */
	void writeRetryAfter(Duration delay, HttpHeaders headers);

	/**
	 * What a caller says of its request.
	 *
	 * @param id its id, empty if it has none
	 * @param key the customer's key, if there is one
	 * @param callerTimeoutMillis how long the caller will wait, in milliseconds
	 * @param lastEventId the id of the last event that the caller has, if it resumes
	 * @param prompt the prompt
	 */
	record RequestFacts(String id, Optional<String> key, OptionalLong callerTimeoutMillis, OptionalLong lastEventId,
			PromptShape prompt) {
	}

	/**
	 * What the system says to an endpoint.
	 *
	 * @param instance the instance that the request is meant for
	 * @param customer the customer, if the request has a key
	 * @param remainingMillis the time that is left, in milliseconds
	 * @param urgency the rank of the request, 0 is the highest
	 * @param resumeAfter the id of the last event that the caller has, if the stream goes
	 * on
	 * @param engine whether the endpoint is a model engine
	 */
	record SendFacts(String instance, Optional<String> customer, long remainingMillis, int urgency,
			OptionalLong resumeAfter, boolean engine) {
	}

	/**
	 * What an endpoint says of its answer.
	 *
	 * @param requestId the id of the request that it answers, empty if it has none
	 * @param sealed whether it bears the endpoint's seal
	 * @param notRun whether it states that the request was not run
	 * @param load the load, if it is told
	 * @param idleTimeoutSeconds for how long the endpoint keeps the connection idle, if
	 * it is told
	 */
	record AnswerFacts(String requestId, boolean sealed, boolean notRun, Optional<LoadFacts> load,
			OptionalInt idleTimeoutSeconds) {
	}

	/**
	 * The load of an endpoint.
	 *
	 * @param running the requests that run
	 * @param waiting the requests that wait
	 * @param slots how many can run
	 */
	record LoadFacts(int running, int waiting, int slots) {
	}

}
