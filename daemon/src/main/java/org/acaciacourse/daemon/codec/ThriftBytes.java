package org.acaciacourse.daemon.codec;

import io.vavr.control.Try;
import org.apache.thrift.TBase;
import org.apache.thrift.TConfiguration;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TProtocolFactory;
import org.apache.thrift.transport.TMemoryInputTransport;
import org.apache.thrift.transport.TTransport;
import org.apache.thrift.transport.TTransportException;

/**
 * Serializes and deserializes Thrift structs, with limits on sizes and nesting when
 * reading: a corrupt or forged length field could otherwise make the reader allocate
 * gigabytes and exhaust the heap.
 * <p>
 * Thread safe: stateless.
 */
public final class ThriftBytes {

	/** Maximum size of a message and of a struct on disk, in bytes. */
	public static final int MAX_BYTES = 64 << 20;

	private static final int MAX_ELEMENTS = 1 << 20;

	private static final int MAX_DEPTH = 16;

	private ThriftBytes() {
	}

	/**
	 * Return the protocol used for RPC and files.
	 * @return a factory of the compact protocol with size limits
	 */
	public static TProtocolFactory protocol() {
		return new TCompactProtocol.Factory(MAX_BYTES, MAX_ELEMENTS);
	}

	/**
	 * Return the size limits of a transport.
	 * @return a new configuration
	 */
	public static TConfiguration bounds() {
		return new TConfiguration(MAX_BYTES, MAX_BYTES, MAX_DEPTH);
	}

	/**
	 * Encode a struct.
	 * @param struct the struct, with all required fields set
	 * @return the bytes
	 */
	public static byte[] encode(TBase<?, ?> struct) {
		try {
			return new TSerializer(protocol()).serialize(struct);
		}
		catch (TException ex) {
			throw new IllegalArgumentException("cannot encode struct " + struct.getClass().getSimpleName(), ex);
		}
	}

	/**
	 * Decode a struct.
	 * @param <T> the type of the struct
	 * @param bytes the bytes
	 * @param target an empty struct that receives the fields
	 * @return the struct, or a failure if the bytes are not a valid encoding
	 */
	public static <T extends TBase<?, ?>> Try<T> decode(byte[] bytes, T target) {
		return Try.of(() -> {
			target.read(protocol().getProtocol(input(bytes)));
			return target;
		});
	}

	private static TTransport input(byte[] bytes) throws TTransportException {
		if (bytes.length > MAX_BYTES) {
			throw new TTransportException("struct too large: " + bytes.length + " bytes, limit " + MAX_BYTES);
		}
		return new TMemoryInputTransport(bounds(), bytes);
	}

}
