package org.acaciacourse.daemon.route;

import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import org.acaciacourse.core.ini.CommaList;

/**
 * Parts the headers of a message from those of its connection (RFC 9110, section 7.6.1).
 * <p>
 * Thread safe: it has no state.
 */
final class HopByHopHeaders {

	/** Lengths and encodings are written anew for each connection. */
	private static final Set<String> HOP_BY_HOP = Set.of("connection", "keep-alive", "proxy-connection",
			"proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade",
			"content-length", "expect");

	private HopByHopHeaders() {
	}

	/**
	 * Copy the headers that are meant for the other end.
	 * @param headers all headers
	 * @return a copy without those of the connection and those that it names
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
