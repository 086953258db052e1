package org.acaciacourse.daemon.http;

import java.time.Duration;

import org.acaciacourse.core.route.CallerLimits;
import org.acaciacourse.core.settings.SettingKey;
import org.acaciacourse.core.settings.Settings;

/**
 * Limits on requests and connections of callers.
 * <p>
 * Immutable and thread safe.
 *
 * @param maxBody maximum size of a request body in bytes
 * @param maxConnections maximum number of open connections
 * @param readTimeout time within which a complete request must be received
 * @param maxHeader maximum size of the header section in bytes
 * @param maxHeaderLines maximum number of lines of the header section
 * @param headerTimeout time within which a header section must be received, from its
 * first byte on
 * @param idleTimeout time after which an idle connection is closed
 */
public record HttpLimits(int maxBody, int maxConnections, Duration readTimeout, int maxHeader, int maxHeaderLines,
		Duration headerTimeout, Duration idleTimeout) {

	/** Maximum length of the request line in bytes. */
	static final int MAX_LINE = 8 * 1024;

	/** Default maximum size of the header section in bytes. */
	private static final int MAX_HEADER_BYTES = 32 * 1024;

	/** Maximum number of header lines of a chat request. */
	private static final int MAX_CHAT_HEADER_LINES = 100;

	/** For callers whose limits on the size of a header section name no number. */
	public static final int ANY_NUMBER_OF_LINES = Integer.MAX_VALUE;

	/** Maximum number of concurrent streams of an HTTP/2 connection. */
	static final int MAX_STREAMS = 1024;

	/** Default time after which an idle connection is closed. */
	private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(90);

	/**
	 * Limits of the addresses at which a VM shows its readiness and its metrics: a few
	 * clients that send small requests.
	 */
	static final HttpLimits PROBES = new HttpLimits(16 * 1024, 32, Duration.ofSeconds(5), 16 * 1024,
			MAX_CHAT_HEADER_LINES, Duration.ofSeconds(5), Duration.ofSeconds(5));

	/**
	 * Read the limits of an entry VM.
	 * @param settings the settings
	 * @return the limits
	 */
	public static HttpLimits of(Settings settings) {
		int maxBody = (int) Math.min(settings.bytes(SettingKey.ENTRY_MAX_BODY), Integer.MAX_VALUE);
		Duration readTimeout = settings.duration(SettingKey.ENTRY_READ_TIMEOUT);
		return new HttpLimits(maxBody, settings.count(SettingKey.ENTRY_MAX_CONNECTIONS), readTimeout, MAX_HEADER_BYTES,
				MAX_CHAT_HEADER_LINES, readTimeout, IDLE_TIMEOUT);
	}

	/**
	 * Return these limits with those that a routing manifest declares in their place.
	 * @param declared the limits declared in the manifest
	 * @return the limits
	 */
	public HttpLimits with(CallerLimits declared) {
		return new HttpLimits(declared.maxBodyBytes(), this.maxConnections, this.readTimeout, declared.maxHeaderBytes(),
				ANY_NUMBER_OF_LINES, declared.headerTimeout(), declared.idleTimeout());
	}

}
