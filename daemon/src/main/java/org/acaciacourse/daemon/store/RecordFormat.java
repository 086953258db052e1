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
 * Records as they lie in files: a mark, the length, a CRC-32C over length and body, then
 * the body. One record is written for each sync, so a crash can damage no record but the
 * last one of a file. A bad record with a good one after it was synced before, and its
 * loss would be the loss of committed data.
 * <p>
 * Thread safe: it has no state.
 */
final class RecordFormat {

	private static final int MARK = 0xACAC1A01;

	private static final int HEAD = 12;

	private RecordFormat() {
	}

	/**
	 * Encode a record.
	 * @param record the record
	 * @return the bytes, ready to be written
	 */
	static ByteBuffer encode(StoreRecord record) {
		byte[] body = ThriftBytes.encode(record);
		ByteBuffer bytes = ByteBuffer.allocate(HEAD + body.length);
		bytes.putInt(MARK).putInt(body.length).putInt(checksum(body)).put(body);
		return bytes.flip();
	}

	/**
	 * Read the records of a file.
	 * @param content the content of the file
	 * @return the records up to the first bad one
	 */
	static Scan scan(byte[] content) {
		List<StoreRecord> records = new ArrayList<>();
		ByteBuffer bytes = ByteBuffer.wrap(content);
		int at = 0;
		while (at < content.length) {
			OptionalInt end = end(bytes, at);
			Try<StoreRecord> record = end.isPresent() ? decode(bytes, at, end.getAsInt())
					: Try.failure(new IllegalStateException("bad record"));
			if (record.isFailure()) {
				return new Scan(records, at, true, goodRecordAfter(bytes, at + 1));
			}
			records.add(record.get());
			at = end.getAsInt();
		}
		return new Scan(records, at, false, false);
	}

	private static OptionalInt end(ByteBuffer bytes, int at) {
		int room = bytes.limit() - at - HEAD;
		if (room < 0 || bytes.getInt(at) != MARK) {
			return OptionalInt.empty();
		}
		int length = bytes.getInt(at + Integer.BYTES);
		return (length >= 0 && length <= room) ? OptionalInt.of(at + HEAD + length) : OptionalInt.empty();
	}

	private static Try<StoreRecord> decode(ByteBuffer bytes, int at, int end) {
		byte[] body = new byte[end - at - HEAD];
		bytes.get(at + HEAD, body);
		if (bytes.getInt(at + 2 * Integer.BYTES) != checksum(body)) {
			return Try.failure(new IllegalStateException("bad checksum"));
		}
		return ThriftBytes.decode(body, new StoreRecord());
	}

	private static boolean goodRecordAfter(ByteBuffer bytes, int from) {
		for (int at = from; at + HEAD <= bytes.limit(); at++) {
			OptionalInt end = end(bytes, at);
			if (end.isPresent() && decode(bytes, at, end.getAsInt()).isSuccess()) {
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
	 * What a file holds.
	 *
	 * @param records the good records from the start
	 * @param end where they end
	 * @param bad whether something else follows
	 * @param damaged whether a good record follows after that, so that it is no torn tail
	 */
	record Scan(List<StoreRecord> records, int end, boolean bad, boolean damaged) {
	}

}
