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
 * A client's connection to a control VM. Every call has a response and a timeout: a
 * device on the path may lose the connection's state, so that it never delivers data
 * again while new connections work. A connection is unusable after a call timed out on
 * it; the owner closes it and opens another.
 * <p>
 * Not thread safe: one call at a time.
 */
public final class InternalConnection implements AutoCloseable {

	/** Service name of the replica service in the multiplexed protocol. */
	static final String REPLICA_SERVICE = "replica";

	/** Service name of the control service, for entry VMs and operators. */
	static final String CONTROL_SERVICE = "control";

	/**
	 * Several round trips between data centres, which take tens of milliseconds each. A
	 * running host accepts within one round trip. If the host is not up yet or packets
	 * are lost, TCP retransmits only after a second; a client that waited for that would
	 * neither try another VM nor reach this one as soon as it is up.
	 */
	private static final int CONNECT_TIMEOUT_MILLIS = 200;

	private final TTransport transport;

	private final ControlService.Client control;

	private final ReplicaService.Client replica;

	private InternalConnection(TTransport transport) {
		this.transport = transport;
		TProtocol protocol = ThriftBytes.protocol().getProtocol(transport);
		this.control = new ControlService.Client(new TMultiplexedProtocol(protocol, CONTROL_SERVICE));
		this.replica = new ReplicaService.Client(new TMultiplexedProtocol(protocol, REPLICA_SERVICE));
	}

	/**
	 * Open a connection.
	 * @param address the IP address and port
	 * @param timeout the timeout for the response to a call
	 * @return the connection
	 * @throws TTransportException if the connection cannot be established
	 */
	public static InternalConnection open(String address, Duration timeout) throws TTransportException {
		InetSocketAddress parsed = parse(address);
		TSocket socket = new TSocket(ThriftBytes.bounds(), parsed.getAddress().getHostAddress(), parsed.getPort(),
				(int) timeout.toMillis(), CONNECT_TIMEOUT_MILLIS);
		TTransport transport = new TFramedTransport(socket, ThriftBytes.MAX_BYTES);
		transport.open();
		return new InternalConnection(transport);
	}

	/**
	 * Parse an address.
	 * @param address the IP address and port
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
	 * Format an address.
	 * @param address the address
	 * @return the IP address and port
	 */
	public static String format(InetSocketAddress address) {
		String host = address.getAddress().getHostAddress();
		return ((host.indexOf(':') >= 0) ? "[" + host + "]" : host) + ":" + address.getPort();
	}

	/**
	 * Return the control service, for entry VMs and operators.
	 * @return the client
	 */
	public ControlService.Client control() {
		return this.control;
	}

	/**
	 * Return the replica service.
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
