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
 * Asks an engine about a request by its id over a connection of its own, when the
 * connection of the request is silent or broken: a connection says nothing of the engine
 * behind it.
 * <p>
 * Thread safe: it has no state.
 */
public final class RunQuestion {

	private static final ObjectMapper JSON = new ObjectMapper();

	private RunQuestion() {
	}

	/**
	 * Ask.
	 * @param client asks
	 * @param base the base address of the engine
	 * @param id the id of the attempt
	 * @return what the engine knows; never fails
	 */
	public static CompletionStage<Reply> ask(EndpointClient client, String base, String id) {
		return client.ask("GET", base + "/v1/requests/" + id).handle(RunQuestion::parseStatus);
	}

	/**
	 * Cancel a request at its engine. An engine that can't be asked is left alone: it
	 * notices the closed connection by itself.
	 * @param client asks
	 * @param base the base address of the engine
	 * @param id the id of the attempt
	 */
	public static void cancel(EndpointClient client, String base, String id) {
		client.ask("POST", base + "/v1/requests/" + id + "/cancel");
	}

	/**
	 * Ask an engine when it was started.
	 * @param client asks
	 * @param base the base address of the engine
	 * @return the time in milliseconds since the epoch, if it says one; never fails
	 */
	public static CompletionStage<OptionalLong> started(EndpointClient client, String base) {
		return client.ask("GET", base + "/load").handle((response, failure) -> parseStartTime(response));
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

	private static Reply parseStatus(Response response, Throwable failure) {
		if (failure != null) {
			Throwable cause = (failure instanceof CompletionException) ? failure.getCause() : failure;
			return new Reply((cause instanceof ConnectException) ? Kind.DOWN : Kind.NO_ANSWER, 0);
		}
		if (response.getStatusCode() != 200) {
			return new Reply(Kind.NOT_TOLD, 0);
		}
		try {
			JsonNode json = JSON.readTree(response.getResponseBodyAsBytes());
			return new Reply(Kind.ofState(json.path("state").asText()), json.path("tokens").asLong());
		}
		catch (IOException ex) {
			return new Reply(Kind.NOT_TOLD, 0);
		}
	}

	/**
	 * What the engine knows of a request.
	 *
	 * @param kind what it said
	 * @param tokens how many tokens it made
	 */
	public record Reply(Kind kind, long tokens) {
	}

	/**
	 * What an engine said.
	 */
	public enum Kind {

		/** The engine takes no connection: its process is down. */
		DOWN,

		/** The engine did not answer in time. */
		NO_ANSWER,

		/** The endpoint answers, but not this question. */
		NOT_TOLD,

		/** The engine does not know the request. */
		UNKNOWN,

		/** The request waits inside the engine. */
		QUEUED,

		/** The request runs. */
		RUNNING,

		/** The request ran to its end. */
		FINISHED,

		/** The request was stopped. */
		CANCELLED;

		private static Kind ofState(String state) {
			return switch (state) {
				case "unknown" -> UNKNOWN;
				case "queued" -> QUEUED;
				case "running" -> RUNNING;
				case "finished" -> FINISHED;
				case "cancelled" -> CANCELLED;
				default -> NOT_TOLD;
			};
		}

	}

}
