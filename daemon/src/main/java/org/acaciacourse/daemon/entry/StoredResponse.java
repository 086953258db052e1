package org.acaciacourse.daemon.entry;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;

/**
 * The complete response of a request that runs at most once, as stored with its claim.
 * <p>
 * Immutable and thread safe, provided that the body is not modified.
 *
 * @param status the HTTP status
 * @param contentType the content type
 * @param body the body; for a stream, all of its events
 */
record StoredResponse(int status, String contentType, byte[] body) {

	/** Maximum size of a stored body in bytes. */
	static final int MAX_BODY_BYTES = 256 * 1024;

	private static final int FORMAT_VERSION = 1;

	/**
	 * Encode the response for the claim.
	 * @return the bytes, empty if the body is too large to be stored
	 */
	byte[] encode() {
		if (this.body.length > MAX_BODY_BYTES) {
			return new byte[0];
		}
		ByteArrayOutputStream bytes = new ByteArrayOutputStream(this.body.length + 64);
		try (DataOutputStream out = new DataOutputStream(bytes)) {
			out.writeByte(FORMAT_VERSION);
			out.writeShort(this.status);
			out.writeUTF(this.contentType);
			out.write(this.body);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return bytes.toByteArray();
	}

	/**
	 * Decode a stored response.
	 * @param bytes the bytes
	 * @return the response, empty if there is none or its format is unknown
	 */
	static Optional<StoredResponse> decode(byte[] bytes) {
		if (bytes.length == 0 || bytes[0] != FORMAT_VERSION) {
			return Optional.empty();
		}
		try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
			in.readByte();
			int status = in.readUnsignedShort();
			String contentType = in.readUTF();
			return Optional.of(new StoredResponse(status, contentType, in.readAllBytes()));
		}
		catch (IOException ex) {
			return Optional.empty();
		}
	}

}
