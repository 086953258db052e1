package org.acaciacourse.daemon.inner;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.time.Duration;

import org.acaciacourse.daemon.codec.ThriftBytes;
import org.acaciacourse.protocol.generated.ControlService;
import org.acaciacourse.protocol.generated.ReplicaService;
import org.apache.thrift.protocol.TMultiplexedProtocol;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.TTransport;
import org.apache.thrift.transport.TTransportException;
import org.apache.thrift.transport.layered.TFramedTransport;

/**
 * A client's connection to a control VM. Every call has an answer and a bound on the time
 * for it: something between the ends may have lost track of the connection, so that it
 * stays silent for good while new ones work. A call that times out makes its connection
 * useless; the owner closes it and opens another.
 * <p>
 * Not thread safe: one call at a time.
 */
public final class InnerConnection implements AutoCloseable {

	/** Name of the replicas' service on a connection. */
	static final String REPLICA_SERVICE = "replica";

	/** Name of the service for entries and operators on a connection. */
	static final String CONTROL_SERVICE = "control";

	/**
	 * Several round trips between data centres, which are tens of milliseconds. A host
	 * that is up answers within one; to one that has no power yet, or over a link that
	 * loses packets, TCP itself tries again after a second only, and a caller that waits
	 * for that neither asks another VM nor reaches this one once it is up.
	 */
	private static final int CONNECT_TIMEOUT_MILLIS = 200;

	private final TTransport transport;

	private final ControlService.Client control;

	private final ReplicaService.Client replica;

	private InnerConnection(TTransport transport) {
		this.transport = transport;
		TProtocol protocol = ThriftBytes.protocol().getProtocol(transport);
		this.control = new ControlService.Client(new TMultiplexedProtocol(protocol, CONTROL_SERVICE));
		this.replica = new ReplicaService.Client(new TMultiplexedProtocol(protocol, REPLICA_SERVICE));
	}

	/**
	 * Open a connection.
	 * @param address the IP number and port
	 * @param timeout the longest time for the answer to a call
	 * @return the connection
	 * @throws TTransportException if nobody answers there
	 */
	public static InnerConnection open(String address, Duration timeout) throws TTransportException {
		InetSocketAddress parsed = parse(address);
		TSocket socket = new TSocket(ThriftBytes.bounds(), parsed.getAddress().getHostAddress(), parsed.getPort(),
				(int) timeout.toMillis(), CONNECT_TIMEOUT_MILLIS);
		TTransport transport = new TFramedTransport(socket, ThriftBytes.MAX_BYTES);
		transport.open();
		return new InnerConnection(transport);
	}

	/**
	 * Read an address.
	 * @param address the IP number and port
	 * @return the address
	 */
	public static InetSocketAddress parse(String address) {
		int colon = address.lastIndexOf(':');
		if (colon < 0) {
			throw new IllegalArgumentException("no port in address '" + address + "'");
		}
		try {
			InetAddress host = InetAddress.getByName(address.substring(0, colon));
			return new InetSocketAddress(host, Integer.parseInt(address.substring(colon + 1)));
		}
		catch (UnknownHostException ex) {
			throw new IllegalArgumentException("no IP number in address '" + address + "'", ex);
		}
	}

	/**
	 * Write an address.
	 * @param address the address
	 * @return the IP number and port
	 */
	public static String format(InetSocketAddress address) {
		String host = address.getAddress().getHostAddress();
		return ((host.indexOf(':') >= 0) ? "[" + host + "]" : host) + ":" + address.getPort();
	}

	/**
	 * Return the service for entries and operators.
	 * @return the client
	 */
	public ControlService.Client control() {
		return this.control;
	}

	/**
	 * Return the replicas' service.
	 * @return the client
	 */
	public ReplicaService.Client replica() {
		return this.replica;
	}

	@Override
	public void close() {
		this.transport.close();
	}

}
