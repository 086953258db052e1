package org.acaciacourse.core.dispatch;

/**
 * A load report of an engine. It is delayed and may stop changing.
 * <p>
 * Immutable and thread safe.
 *
 * @param sequence increases with each report that the engine makes; a frozen engine
 * repeats it
 * @param running the number of running requests
 * @param queued the number of requests waiting inside the engine
 * @param ageNanos the age of the report when it was received
 */
public record LoadReport(long sequence, int running, int queued, long ageNanos) {
}
