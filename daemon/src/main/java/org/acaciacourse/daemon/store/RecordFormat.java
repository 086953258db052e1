package org.acaciacourse.daemon.store;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.zip.CRC32C;

import io.vavr.control.Try;
import org.acaciacourse.daemon.codec.ThriftBytes;
import org.acaciacourse.protocol.generated.StoreRecord;

/**
 * The record format of the files: a magic number, the length of the body, a CRC-32C over
 * length and body, then the body. One record is written per sync, so a crash can damage
 * only the last record of a file. An invalid record that is followed by a valid one had
 * already been synced; dropping it would lose committed data.
 * <p>
 * Thread safe: stateless.
 */
final class RecordFormat {

	private static final int MAGIC = 0xACAC1A01;

	private static final int HEADER_BYTES = 12;

	private RecordFormat() {
	}

	/**
	 * Encode a record.
	 * @param record the record
	 * @return the bytes, ready to be written
	 */
	static ByteBuffer encode(StoreRecord record) {
		byte[] body = ThriftBytes.encode(record);
		ByteBuffer bytes = ByteBuffer.allocate(HEADER_BYTES + body.length);
		bytes.putInt(MAGIC).putInt(body.length).putInt(checksum(body)).put(body);
		return bytes.flip();
	}

	/**
	 * Read the records of a file.
	 * @param content the content of the file
	 * @return the records up to the first invalid one
	 */
	static Scan scan(byte[] content) {
		List<StoreRecord> records = new ArrayList<>();
		ByteBuffer bytes = ByteBuffer.wrap(content);
		int offset = 0;
		while (offset < content.length) {
			OptionalInt end = recordEnd(bytes, offset);
			Try<StoreRecord> record = end.isPresent() ? decode(bytes, offset, end.getAsInt())
					: Try.failure(new IllegalStateException("invalid record header"));
			if (record.isFailure()) {
				return new Scan(records, offset, true, validRecordAfter(bytes, offset + 1));
			}
			records.add(record.get());
			offset = end.getAsInt();
		}
		return new Scan(records, offset, false, false);
	}

	private static OptionalInt recordEnd(ByteBuffer bytes, int offset) {
		int available = bytes.limit() - offset - HEADER_BYTES;
		if (available < 0 || bytes.getInt(offset) != MAGIC) {
			return OptionalInt.empty();
		}
		int length = bytes.getInt(offset + Integer.BYTES);
		return (length >= 0 && length <= available) ? OptionalInt.of(offset + HEADER_BYTES + length)
				: OptionalInt.empty();
	}

	private static Try<StoreRecord> decode(ByteBuffer bytes, int offset, int end) {
		byte[] body = new byte[end - offset - HEADER_BYTES];
		bytes.get(offset + HEADER_BYTES, body);
		if (bytes.getInt(offset + 2 * Integer.BYTES) != checksum(body)) {
			return Try.failure(new IllegalStateException("record checksum mismatch"));
		}
		return ThriftBytes.decode(body, new StoreRecord());
	}

	private static boolean validRecordAfter(ByteBuffer bytes, int from) {
		for (int offset = from; offset + HEADER_BYTES <= bytes.limit(); offset++) {
			OptionalInt end = recordEnd(bytes, offset);
			if (end.isPresent() && decode(bytes, offset, end.getAsInt()).isSuccess()) {
				return true;
			}
		}
		return false;
	}

	private static int checksum(byte[] body) {
		CRC32C crc = new CRC32C();
		crc.update(ByteBuffer.allocate(Integer.BYTES).putInt(body.length).flip());
		crc.update(body);
		return (int) crc.getValue();
	}

	/**
	 * The records of a file.
	 *
	 * @param records the valid records from the start of the file
	 * @param validEnd the offset at which they end
	 * @param hasInvalidRecord whether an invalid record follows them
	 * @param validRecordFollows whether a valid record follows the invalid one, which is
	 * then damage and not a torn write
	 */
	record Scan(List<StoreRecord> records, int validEnd, boolean hasInvalidRecord, boolean validRecordFollows) {
	}

}
