package org.acaciacourse.daemon.http;

import java.time.Duration;

import org.acaciacourse.core.route.CallerLimits;
import org.acaciacourse.core.settings.SettingKey;
import org.acaciacourse.core.settings.Settings;

/**
 * Bounds on what a caller may send.
 * <p>
 * Immutable and thread safe.
 *
 * @param maxBody largest body in bytes
 * @param maxConnections most connections at a time
 * @param readTimeout time in which a whole request has to be received
 * @param maxHeader largest header section in bytes
 * @param idleTimeout time after which an idle connection is closed
 */
public record HttpLimits(int maxBody, int maxConnections, Duration readTimeout, int maxHeader, Duration idleTimeout) {

	/** Largest request line in bytes. */
	static final int MAX_LINE = 8 * 1024;

	/** Largest header section in bytes. */
	private static final int MAX_HEADER_BYTES = 32 * 1024;

	/** Most headers of a request. */
	static final int MAX_HEADERS = 100;

	/** Most concurrent streams of an HTTP/2 connection. */
	static final int MAX_STREAMS = 1024;

	/** Time after which an idle connection is closed. */
	private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(90);

	/**
	 * Read the bounds of an entry VM.
	 * @param settings the settings
	 * @return the bounds
	 */
	public static HttpLimits of(Settings settings) {
		int maxBody = (int) Math.min(settings.bytes(SettingKey.ENTRY_MAX_BODY), Integer.MAX_VALUE);
		return new HttpLimits(maxBody, settings.count(SettingKey.ENTRY_MAX_CONNECTIONS),
				settings.duration(SettingKey.ENTRY_READ_TIMEOUT), MAX_HEADER_BYTES, IDLE_TIMEOUT);
	}

	/**
	 * Return these bounds with those that a routing manifest declares.
	 * @param declared the declared bounds
	 * @return the bounds
	 */
	public HttpLimits with(CallerLimits declared) {
		return new HttpLimits(declared.maxBodyBytes(), this.maxConnections, this.readTimeout, declared.maxHeaderBytes(),
				declared.idleTimeout());
	}

}
