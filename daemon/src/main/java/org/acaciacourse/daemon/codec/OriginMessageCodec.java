package org.acaciacourse.daemon.codec;

import java.util.List;
import java.util.Optional;

import org.acaciacourse.core.stream.OriginMessage;
import org.acaciacourse.core.stream.StreamKey;
import org.acaciacourse.core.stream.StreamOrigin;
import org.acaciacourse.protocol.generated.LoadDigestRecord;
import org.acaciacourse.protocol.generated.StreamOriginRecord;
import org.acaciacourse.protocol.generated.StreamOriginsRecord;

/**
 * Converts messages about the origins of streams to and from the content of datagrams.
 * They share the socket of the load digests; an older release takes one for a digest
 * without its loads and drops it.
 * <p>
 * Thread safe: stateless.
 */
public final class OriginMessageCodec {

	private static final OriginMessage.Kind[] KINDS = OriginMessage.Kind.values();

	private OriginMessageCodec() {
	}

	/**
	 * Encode a message.
	 * @param message the message
	 * @return the content of a datagram
	 */
	public static byte[] encode(OriginMessage message) {
		List<StreamOriginRecord> streams = message.streams().stream().map(OriginMessageCodec::record).toList();
		return ThriftBytes
			.encode(new LoadDigestRecord().setOrigins(new StreamOriginsRecord(message.kind().ordinal(), streams)));
	}

	private static StreamOriginRecord record(OriginMessage.Stream stream) {
		StreamOriginRecord record = new StreamOriginRecord(stream.key().customer(), stream.key().request());
		stream.origin().ifPresent((origin) -> {
			record.setPool(origin.pool());
			origin.version().ifPresent(record::setVersion);
		});
		return record;
	}

	/**
	 * Decode a message.
	 * @param record the content of a datagram that has origins
	 * @return the message
	 * @throws RuntimeException if a field is missing or out of its range
	 */
	static OriginMessage decode(LoadDigestRecord record) {
		StreamOriginsRecord origins = record.getOrigins();
		return new OriginMessage(KINDS[origins.getKind()],
				origins.getStreams().stream().map(OriginMessageCodec::stream).toList());
	}

	private static OriginMessage.Stream stream(StreamOriginRecord record) {
		Optional<StreamOrigin> origin = Optional.ofNullable(record.getPool())
			.map((pool) -> new StreamOrigin(pool, Optional.ofNullable(record.getVersion())));
		return new OriginMessage.Stream(new StreamKey(record.getCustomer(), record.getRequest()), origin);
	}

}
