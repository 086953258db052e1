package org.acaciacourse.daemon.route;

import org.acaciacourse.core.code.ResultCode;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;

/**
 * The decision log of routed requests: one line for each decision that is not the usual
 * one, with the request's id and what decided it. The appender drops what does not fit,
 * so that a log that nobody reads does not hold up requests.
 * <p>
 * Thread safe: it has no state.
 */
final class RouteLog {

	private static final Logger logger = LogManager.getLogger(RouteLog.class);

	private RouteLog() {
	}

	/**
	 * A request was refused or failed.
	 * @param request its id
	 * @param code the reason
	 * @param detail what decided it
	 */
	static void failed(String request, ResultCode code, String detail) {
		if (logger.isInfoEnabled()) {
			logger.info(new StringMapMessage().with("event", "request-failed")
				.with("request", request)
				.with("code", code.number())
				.with("detail", detail));
		}
	}

	/**
	 * An attempt ended otherwise than with an answer.
	 * @param request the id of the request
	 * @param instance the endpoint
	 * @param end how it ended
	 * @param ageMillis how long it took
	 */
	static void attemptEnded(String request, String instance, String end, long ageMillis) {
		if (logger.isInfoEnabled()) {
			logger.info(new StringMapMessage().with("event", "attempt-ended")
				.with("request", request)
				.with("endpoint", instance)
				.with("end", end)
				.with("age_ms", ageMillis));
		}
	}

	/**
	 * What this VM believes changed.
	 * @param event the name of the change
	 * @param detail what it believes now
	 */
	static void belief(String event, String detail) {
		logger.info(new StringMapMessage().with("event", event).with("detail", detail));
	}

}
