import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** The parts of HTTP/1.1 that the stand-ins need. */
final class Http {

	private Http() {
	}

	/** Read a line without its end; null at the end of the input before its first byte. */
	static String line(InputStream in) throws IOException {
		StringBuilder text = new StringBuilder();
		for (int letter = in.read(); letter != '\n'; letter = in.read()) {
			if (letter < 0) {
				if (text.length() == 0) {
					return null;
				}
				throw new EOFException("within a line");
			}
			if (letter != '\r') {
				text.append((char) letter);
			}
		}
		return text.toString();
	}

	/** Read a head; null if the input ends before it. */
	static Head head(InputStream in) throws IOException {
		String first = line(in);
		if (first == null) {
			return null;
		}
		Map<String, String> headers = new LinkedHashMap<>();
		for (String next = line(in); !next.isEmpty(); next = line(in)) {
			int colon = next.indexOf(':');
			headers.put(next.substring(0, colon).strip().toLowerCase(Locale.ROOT), next.substring(colon + 1).strip());
			if (in.available() < 0) {
				throw new EOFException("within a head");
			}
		}
		return new Head(first, headers);
	}

	/** Read a body with a length or in chunks. */
	static byte[] body(InputStream in, Head head) throws IOException {
		if ("chunked".equalsIgnoreCase(head.headers.get("transfer-encoding"))) {
			java.io.ByteArrayOutputStream all = new java.io.ByteArrayOutputStream();
			for (byte[] chunk = chunk(in); chunk.length > 0; chunk = chunk(in)) {
				all.write(chunk);
			}
			return all.toByteArray();
		}
		return exactly(in, Integer.parseInt(head.headers.getOrDefault("content-length", "0")));
	}

	/** Read a chunk; the last one is empty. */
	static byte[] chunk(InputStream in) throws IOException {
		String size = line(in);
		if (size == null) {
			throw new EOFException("before a chunk");
		}
		int length = Integer.parseInt(size.split(";")[0].strip(), 16);
		byte[] content = exactly(in, length);
		if (line(in) == null) {
			throw new EOFException("after a chunk");
		}
		return content;
	}

	private static byte[] exactly(InputStream in, int length) throws IOException {
		byte[] content = in.readNBytes(length);
		if (content.length < length) {
			throw new EOFException("within a body");
		}
		return content;
	}

	static void write(OutputStream out, String text) throws IOException {
		out.write(text.getBytes(StandardCharsets.ISO_8859_1));
		out.flush();
	}

	/** The first line and the headers, by their names in lower case. */
	record Head(String line, Map<String, String> headers) {

		int status() {
			return Integer.parseInt(this.line.split(" ")[1]);
		}

		String header(String name) {
			return this.headers.getOrDefault(name, "");
		}

	}

}
