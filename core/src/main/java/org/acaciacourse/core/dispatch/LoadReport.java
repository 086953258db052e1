package org.acaciacourse.core.dispatch;

/**
 * What an engine reports of its load. It lags behind the truth and may freeze.
 * <p>
 * Immutable and thread safe.
 *
 * @param sequence grows with each report that the engine makes; a frozen one repeats it
 * @param running the requests that it runs
 * @param queued the requests that wait inside it
 * @param ageNanos how old the report was when it was received
 */
public record LoadReport(long sequence, int running, int queued, long ageNanos) {
}
