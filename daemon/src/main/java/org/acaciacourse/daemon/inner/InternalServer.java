package org.acaciacourse.daemon.inner;

import java.net.ServerSocket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.acaciacourse.daemon.codec.ThriftBytes;
import org.acaciacourse.daemon.memory.SizeGate;
import org.acaciacourse.daemon.process.EssentialThread;
import org.acaciacourse.protocol.generated.ControlService;
import org.acaciacourse.protocol.generated.ReplicaService;
import org.apache.thrift.TMultiplexedProcessor;
import org.apache.thrift.server.TThreadPoolServer;
import org.apache.thrift.transport.TServerSocket;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.TTransportException;
import org.apache.thrift.transport.layered.TFramedTransport;

/**
 * The server for internal connections on a control VM, with one thread per connection and
 * at most {@value #MAX_CONNECTIONS} connections, three times what 380 polling entry VMs
 * need. Large calls of the control service pass a gate. An idle connection is closed
 * after {@value #IDLE_TIMEOUT_MILLIS} ms, so that dead peers do not occupy threads.
 * <p>
 * Thread safe.
 */
public final class InternalServer implements AutoCloseable {

	private static final int MAX_CONNECTIONS = 1200;

	private static final int IDLE_TIMEOUT_MILLIS = 60_000;

	private static final long STACK_BYTES = 256 * 1024;

	private final TrackingServerSocket socket;

	private final TThreadPoolServer server;

	private final Thread acceptor;

	private volatile boolean closed;

	/**
	 * Create a server.
	 * @param listener the bound socket
	 * @param replica the service for replicas
	 * @param control the service for entry VMs and operators
	 * @param gate admits large calls of the control service
	 * @throws TTransportException if the socket can't be used
	 */
	public InternalServer(ServerSocket listener, ReplicaService.Iface replica, ControlService.Iface control,
			SizeGate gate) throws TTransportException {
		this.socket = new TrackingServerSocket(listener);
		TMultiplexedProcessor processor = new TMultiplexedProcessor();
		processor.registerProcessor(InternalConnection.REPLICA_SERVICE, new ReplicaService.Processor<>(replica));
		processor.registerProcessor(InternalConnection.CONTROL_SERVICE,
				new SizedProcessor(new ControlService.Processor<>(control), gate));
		String name = "inner-" + listener.getLocalPort();
		TThreadPoolServer.Args args = new TThreadPoolServer.Args(this.socket).processor(processor)
			.protocolFactory(ThriftBytes.protocol())
			.transportFactory(new TFramedTransport.Factory(ThriftBytes.MAX_BYTES))
			.executorService(executor(name))
			.stopTimeoutVal(1);
		this.server = new TThreadPoolServer(args);
		this.acceptor = new EssentialThread(this::serve, name + "-accept");
	}

	private static ThreadPoolExecutor executor(String name) {
		AtomicInteger number = new AtomicInteger();
		return new ThreadPoolExecutor(4, MAX_CONNECTIONS, 10, TimeUnit.SECONDS, new SynchronousQueue<>(), (task) -> {
			Thread thread = new Thread(null, task, name + "-" + number.incrementAndGet(), STACK_BYTES);
			thread.setDaemon(true);
			return thread;
		});
	}

	/**
	 * Start to accept connections.
	 */
	public void start() {
		this.acceptor.start();
	}

	private void serve() {
		this.server.serve();
		if (!this.closed) {
			throw new IllegalStateException("connections are no longer accepted");
		}
	}

	@Override
	public void close() {
		this.closed = true;
		this.server.stop();
		this.socket.closeAll();
	}

	/**
	 * Tracks accepted connections to close them: the threads of a stopped server would
	 * otherwise keep serving them.
	 */
	private static final class TrackingServerSocket extends TServerSocket {

		private final Set<TSocket> openSockets = ConcurrentHashMap.newKeySet();

		private TrackingServerSocket(ServerSocket listener) throws TTransportException {
			super(new ServerSocketTransportArgs().serverSocket(listener).clientTimeout(IDLE_TIMEOUT_MILLIS));
		}

		@Override
		public TSocket accept() throws TTransportException {
			TSocket accepted = super.accept();
			this.openSockets.removeIf((socket) -> !socket.isOpen());
			this.openSockets.add(accepted);
			return accepted;
		}

		private void closeAll() {
			close();
			this.openSockets.forEach(TSocket::close);
		}

	}

}
