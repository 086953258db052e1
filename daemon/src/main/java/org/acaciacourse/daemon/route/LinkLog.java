package org.acaciacourse.daemon.route;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.acaciacourse.core.code.LogRateLimiter;
import org.acaciacourse.core.path.LinkSign;
import org.acaciacourse.core.path.PathLinks;
import org.acaciacourse.daemon.telemetry.DecisionLog;
import org.acaciacourse.daemon.telemetry.LogEvent;

/**
 * Logs which links to endpoints are lost and regained.
 * <p>
 * Not thread safe: belongs to the event loop.
 */
final class LinkLog implements PathLinks.Listener {

	/** An endpoint that fails now and then is lost and regained many times. */
	private static final int MAX_LINES_PER_SECOND = 20;

	private final String via;

	private final LogRateLimiter limiter = new LogRateLimiter(MAX_LINES_PER_SECOND, System.nanoTime());

	/**
	 * Create a log of the links over one path.
	 * @param via the VM that the path leads through, empty for the direct one
	 */
	LinkLog(Optional<String> via) {
		this.via = via.orElse(null);
	}

	@Override
	public void linkLost(String endpoint, LinkSign sign, int lost, int known) {
		this.limiter.tryAcquire(System.nanoTime())
			.ifPresent((suppressed) -> DecisionLog.write(LogEvent.LINK_LOST, endpoint, this.via, sign.name(), lost,
					known, suppressed));
	}

	@Override
	public void linkRegained(String endpoint, long lostNanos) {
		OptionalLong suppressed = this.limiter.tryAcquire(System.nanoTime());
		suppressed.ifPresent((count) -> DecisionLog.write(LogEvent.LINK_REGAINED, endpoint, this.via,
				TimeUnit.NANOSECONDS.toMillis(lostNanos), count));
	}

	@Override
	public void pathDoubted(int lost, int known) {
		DecisionLog.write(LogEvent.LINKS_DOUBTED, this.via, lost, known);
	}

}
