package org.acaciacourse.core.code;

import java.util.Arrays;
import java.util.Optional;

/**
 * The numbered result codes that callers, operators and logs see. A test checks that the
 * table in {@code docs/RESULT-CODES.md} lists the same codes. Numbers are never reused.
 * <p>
 * Immutable and thread safe.
 */
public enum ResultCode {

	/** Success. */
	OK(0, 200, 0, false, "done"),

	/** Request line, header or body could not be parsed. */
	MALFORMED_REQUEST(100, 400, 65, false, "the request is malformed"),

	/** Body, header or header count exceeds its limit. */
	REQUEST_TOO_LARGE(101, 413, 65, false, "the request exceeds a size bound"),

	/** Request not received within the time limit. */
	REQUEST_TOO_SLOW(102, 408, 65, false, "the request was not received in time"),

	/** Customer key missing or unknown. */
	UNKNOWN_CUSTOMER(103, 401, 77, false, "the customer key is unknown"),

	/** Class unknown or not allowed for the customer. */
	UNKNOWN_CLASS(104, 400, 65, false, "the class is unknown or not allowed"),

	/** Model not offered to the class. */
	UNKNOWN_MODEL(105, 404, 65, false, "the model is not offered"),

	/** Path or method unknown. */
	UNKNOWN_PATH(106, 404, 65, false, "the path is unknown"),

	/** A request that may not be repeated came without an idempotency key. */
	IDEMPOTENCY_KEY_REQUIRED(107, 400, 65, false, "a request that may not be repeated needs an idempotency key"),

	/** Header section exceeds its limit. */
	HEADERS_TOO_LARGE(108, 431, 65, false, "the headers exceed a size bound"),

	/** Customer exceeds its rate or concurrency limit. */
	CUSTOMER_LIMIT(200, 429, 75, true, "the customer is over its limit"),

	/** Queue of the class is full. */
	QUEUE_FULL(201, 503, 75, true, "the queue of the class is full"),

	/** The latency target cannot be met as far as is known. */
	TARGET_UNREACHABLE(202, 503, 75, true, "the target cannot be met at present"),

	/** Shed in favour of a higher tier or an older request. */
	SHED(203, 503, 75, true, "the request was shed under overload"),

	/** Deadline passed while the request waited. */
	DEADLINE_EXCEEDED(204, 504, 75, true, "the deadline passed"),

	/** No endpoint can serve the class at present. */
	NO_ENDPOINT(205, 503, 75, true, "no endpoint can serve the request at present"),

	/** The VM is stopping. */
	STOPPING(206, 503, 75, true, "the VM is stopping"),

	/** The VM has not yet confirmed that its configuration is the latest. */
	NOT_READY(207, 503, 75, true, "the VM is not ready"),

	/** The number of connections has reached its limit. */
	TOO_MANY_CONNECTIONS(208, 503, 75, true, "too many connections"),

	/** The content crashed endpoints twice and is refused everywhere. */
	CRASHING_CONTENT(210, 422, 65, false, "this content crashed endpoints and is refused"),

	/** The content crashed endpoints and is not run for some time. */
	CONTENT_WITHHELD(211, 503, 75, true, "this content crashed endpoints and is not run for some time"),

	/** It is not known which endpoints can go on with a stream. */
	STREAM_ORIGIN_UNKNOWN(212, 503, 75, true, "it is not known where the stream began"),

	/** No endpoint of the version that began a stream can go on with it. */
	STREAM_VERSION_GONE(213, 503, 75, true, "no endpoint of the version that began the stream can go on with it"),

	/** The VM has no memory for the request; it was not received completely. */
	NO_MEMORY(214, 503, 75, true, "the VM has no memory for the request at present"),

	/** The customer's name holds what no header can, and endpoints are told the name. */
	CUSTOMER_NOT_SENDABLE(215, 500, 65, false, "the customer's name cannot be sent to an endpoint"),

	/** The endpoint responded with an error. */
	ENDPOINT_ERROR(300, 502, 69, true, "the endpoint answered with an error"),

	/** The connection to the endpoint broke before the end of the response. */
	ENDPOINT_LOST(301, 502, 69, true, "the connection to the endpoint was lost"),

	/** The endpoint made no progress in time. */
	ENDPOINT_TIMEOUT(302, 504, 69, true, "the endpoint made no progress in time"),

	/** The response was truncated and could not be resumed. */
	ANSWER_TRUNCATED(303, 502, 69, true, "the answer was cut short"),

	/** The response belonged to another attempt and was discarded. */
	ANSWER_MISMATCH(304, 502, 69, true, "the answer did not belong to the request"),

	/** All permitted attempts failed. */
	RETRIES_EXHAUSTED(305, 502, 69, true, "all attempts failed"),

	/** The caller closed the connection. */
	CALLER_GONE(306, 499, 69, false, "the caller closed the connection"),

	/** A claim could not be committed; the request was not sent. */
	CLAIM_UNAVAILABLE(400, 503, 75, true, "the claim could not be committed"),

	/** The first request with this key is still running. */
	CLAIM_IN_PROGRESS(401, 409, 75, true, "a request with this key is in progress"),

	/** The first request with this key has an unknown outcome. */
	CLAIM_OUTCOME_UNKNOWN(402, 409, 75, false, "the outcome of the request with this key is unknown"),

	/** The key was used with other content. */
	CLAIM_CONTENT_DIFFERS(403, 422, 65, false, "the key was used with other content"),

	/** The store of claims is full. */
	CLAIMS_FULL(404, 503, 75, true, "the claim store is full"),

	/** The request ran, but its response is no longer stored. */
	CLAIM_ANSWER_NOT_KEPT(405, 409, 75, false, "the request ran and its answer is not kept"),

	/** Settings or command line invalid. */
	INVALID_SETTINGS(500, 400, 78, false, "the settings are invalid"),

	/** Manifest invalid. */
	INVALID_MANIFEST(501, 400, 65, false, "the manifest is invalid"),

	/** Same number as the manifest in force, but different content. */
	MANIFEST_CONFLICT(502, 409, 73, false, "the number is taken by another manifest"),

	/** Number lower than that of the manifest in force. */
	MANIFEST_OUTDATED(503, 409, 73, false, "a newer manifest is in force"),

	/** Operator not authenticated. */
	OPERATOR_UNKNOWN(504, 401, 77, false, "the operator is not authenticated"),

	/** Command line could not be parsed. */
	INVALID_ARGUMENTS(505, 400, 64, false, "the arguments are invalid"),

	/** File could not be read. */
	FILE_UNREADABLE(506, 400, 66, false, "the file cannot be read"),

	/** No log line mentions the request. */
	REQUEST_NOT_FOUND(507, 404, 1, false, "no line tells of the request"),

	/** The base of the delta is no longer the manifest in force. */
	MANIFEST_BASE_CHANGED(510, 409, 75, true, "another manifest came first, compute the delta again"),

	/** No leader known or quorum lost. */
	NO_QUORUM(600, 503, 75, true, "no quorum at present"),

	/** The outcome of a proposal is unknown after a change of leader. */
	OUTCOME_UNKNOWN(601, 504, 75, true, "the outcome is unknown, ask again"),

	/** The data folder is used by another process. */
	DATA_FOLDER_LOCKED(602, 500, 73, false, "the data folder is in use"),

	/** A record in the middle of the log is damaged. */
	LOG_DAMAGED(603, 500, 74, false, "the log is damaged"),

	/** Disk full or a failed sync. */
	DISK_FAILED(604, 500, 74, false, "the disk failed"),

	/** The lease is held by another VM. */
	LEASE_HELD(605, 409, 75, true, "the lease is held elsewhere"),

	/** The lease or fencing number of the requesting VM is out of date. */
	FENCED(606, 409, 73, false, "the fencing number is out of date"),

	/** Address could not be bound. */
	ADDRESS_IN_USE(607, 500, 71, false, "the address cannot be bound"),

	/** Control VMs cannot be reached. */
	CONTROL_UNREACHABLE(608, 503, 69, true, "no control VM can be reached"),

	/** The drain limit passed and requests in flight were aborted. */
	DRAIN_LIMIT(609, 500, 70, false, "the drain limit passed and work was cut"),

	/** Unexpected internal error. */
	INTERNAL(900, 500, 70, false, "an internal fault"),

	/** Out of memory; the exit status is that of a virtual machine that ends itself. */
	OUT_OF_MEMORY(901, 500, 3, false, "out of memory");

	private final int number;

	private final int httpStatus;

	private final int exitStatus;

	private final boolean retryable;

	private final String text;

	ResultCode(int number, int httpStatus, int exitStatus, boolean retryable, String text) {
		this.number = number;
		this.httpStatus = httpStatus;
		this.exitStatus = exitStatus;
		this.retryable = retryable;
		this.text = text;
	}

	/**
	 * Find a code by its number.
	 * @param number the number
	 * @return the code, if there is one
	 */
	public static Optional<ResultCode> ofNumber(int number) {
		return Arrays.stream(values()).filter((code) -> code.number == number).findFirst();
	}

	/**
	 * Return the number that callers and logs see.
	 * @return the number
	 */
	public int number() {
		return this.number;
	}

	/**
	 * Return the status of an HTTP response that carries this code.
	 * @return the HTTP status
	 */
	public int httpStatus() {
		return this.httpStatus;
	}

	/**
	 * Return the exit status of a process that ends with this code.
	 * @return the exit status, 0 to 127
	 */
	public int exitStatus() {
		return this.exitStatus;
	}

	/**
	 * Return whether a later retry may succeed, so that responses state when to retry.
	 * @return whether a retry makes sense
	 */
	public boolean isRetryable() {
		return this.retryable;
	}

	/**
	 * Return a short human-readable text.
	 * @return the text
	 */
	public String text() {
		return this.text;
	}

}
