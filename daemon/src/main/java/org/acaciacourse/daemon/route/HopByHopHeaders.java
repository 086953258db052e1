package org.acaciacourse.daemon.route;

import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import org.acaciacourse.core.ini.CommaList;

/**
 * Separates the end-to-end headers of a message from those that are hop-by-hop (RFC 9110,
 * section 7.6.1).
 * <p>
 * Thread safe: it has no state.
 */
final class HopByHopHeaders {

	/**
	 * Includes headers on length and encoding, as these are set anew for each connection.
	 */
	private static final Set<String> HOP_BY_HOP = Set.of("connection", "keep-alive", "proxy-connection",
			"proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade",
			"content-length", "expect");

	private HopByHopHeaders() {
	}

	/**
	 * Copy the end-to-end headers.
	 * @param headers all headers
	 * @return a copy without the hop-by-hop headers and those listed in "Connection"
	 */
	static HttpHeaders endToEnd(HttpHeaders headers) {
		Set<String> listedInConnection = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
		for (String value : headers.getAll("connection")) {
			listedInConnection.addAll(CommaList.split(value));
		}
		HttpHeaders copy = new DefaultHttpHeaders();
		for (Map.Entry<String, String> header : headers) {
			String name = header.getKey();
			if (!listedInConnection.contains(name) && !HOP_BY_HOP.contains(name.toLowerCase(Locale.ROOT))) {
				copy.add(name, header.getValue());
			}
		}
		return copy;
	}

}
