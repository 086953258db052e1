package org.acaciacourse.daemon.endpoint;

import java.io.IOException;
import java.net.ConnectException;
import java.util.OptionalLong;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.asynchttpclient.Response;

/**
 * Queries an engine for the status of a request by its id over a separate connection.
 * This is used when the connection of the request is silent or broken, as the state of a
 * connection does not show the state of the engine behind it.
 * <p>
 * Stateless and thread safe.
 */
public final class RequestStatusClient {

	private static final ObjectMapper JSON = new ObjectMapper();

	private RequestStatusClient() {
	}

	/**
	 * Query the status of a request.
	 * @param client sends the query
	 * @param base the base address of the engine
	 * @param id the id of the attempt
	 * @return the status; never completes exceptionally
	 */
	public static CompletionStage<RequestStatus> queryStatus(EndpointClient client, String base, String id) {
		return client.request("GET", base + "/v1/requests/" + id).handle(RequestStatusClient::parseStatus);
	}

	/**
	 * Cancel a request at its engine. Failures are ignored: an engine that can't be
	 * reached detects the closed connection by itself.
	 * @param client sends the query
	 * @param base the base address of the engine
	 * @param id the id of the attempt
	 */
	public static void cancel(EndpointClient client, String base, String id) {
		client.request("POST", base + "/v1/requests/" + id + "/cancel");
	}

	/**
	 * Query the start time of an engine.
	 * @param client sends the query
	 * @param base the base address of the engine
	 * @return the start time in milliseconds since the epoch, if the engine reports it;
	 * never completes exceptionally
	 */
	public static CompletionStage<OptionalLong> queryStartTime(EndpointClient client, String base) {
		return client.request("GET", base + "/load").handle((response, failure) -> parseStartTime(response));
	}

	private static OptionalLong parseStartTime(Response response) {
		if (response == null || response.getStatusCode() != 200) {
			return OptionalLong.empty();
		}
		try {
			JsonNode started = JSON.readTree(response.getResponseBodyAsBytes()).path("started_ms");
			return (started.isNumber()) ? OptionalLong.of(started.asLong()) : OptionalLong.empty();
		}
		catch (IOException ex) {
			return OptionalLong.empty();
		}
	}

	private static RequestStatus parseStatus(Response response, Throwable failure) {
		if (failure != null) {
			Throwable cause = (failure instanceof CompletionException) ? failure.getCause() : failure;
			return new RequestStatus((cause instanceof ConnectException) ? Kind.DOWN : Kind.NO_RESPONSE, 0);
		}
		if (response.getStatusCode() != 200) {
			return new RequestStatus(Kind.NOT_REPORTED, 0);
		}
		try {
			JsonNode json = JSON.readTree(response.getResponseBodyAsBytes());
			return new RequestStatus(Kind.ofState(json.path("state").asText()), json.path("tokens").asLong());
		}
		catch (IOException ex) {
			return new RequestStatus(Kind.NOT_REPORTED, 0);
		}
	}

	/**
	 * The status of a request at its engine.
	 *
	 * @param kind the kind of status
	 * @param tokens the number of tokens generated
	 */
	public record RequestStatus(Kind kind, long tokens) {
	}

	/**
	 * The kind of status, including failures of the query.
	 */
	public enum Kind {

		/** The engine accepts no connections: its process is down. */
		DOWN,

		/** The query failed without a response, for example by a timeout. */
		NO_RESPONSE,

		/** The endpoint responded, but without a valid request status. */
		NOT_REPORTED,

		/** The engine does not know the request. */
		UNKNOWN,

		/** The request is queued in the engine. */
		QUEUED,

		/** The request is running. */
		RUNNING,

		/** The request ran to completion. */
		FINISHED,

		/** The request was cancelled. */
		CANCELLED;

		private static Kind ofState(String state) {
			return switch (state) {
				case "unknown" -> UNKNOWN;
				case "queued" -> QUEUED;
				case "running" -> RUNNING;
				case "finished" -> FINISHED;
				case "cancelled" -> CANCELLED;
				default -> NOT_REPORTED;
			};
		}

	}

}
