package org.acaciacourse.engine;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpServerKeepAliveHandler;
import io.netty.util.concurrent.GlobalEventExecutor;

/**
 * A running stand-in: its server and the thread of its batch.
 * <p>
 * Thread safe.
 */
public final class Engine implements AutoCloseable {

	private static final int IO_THREADS = 2;

	private static final int MAX_BODY = 16 << 20;

	private static final int BACKLOG = 1_024;

	private static final long CLOSE_POLL_NANOS = 5_000_000;

	/** A caller that takes nothing for so long does not hold up the end. */
	private static final long WRITE_LIMIT_NANOS = 10_000_000_000L;

	private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

	private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(IO_THREADS,
			NioIoHandler.newFactory());

	private final EngineOptions options;

	private final Batch batch;

	private final Thread batchThread;

	private final EngineHandler handler;

	private final Channel listener;

	private Engine(EngineOptions options) {
		this.options = options;
		EngineOptions.Pace pace = options.pace();
		PrefixCache cache = new PrefixCache(pace.cacheBytes(), TimeUnit.MILLISECONDS.toNanos(pace.eventLagMillis()));
		RunLog runLog = new RunLog(options.runLog());
		this.batch = new Batch(pace, Faults.crashOnly(options.crashMarker()), cache, runLog);
		this.handler = new EngineHandler(options, this.batch, cache, runLog, this.connections);
		this.listener = listen();
		this.batchThread = new Thread(this.batch, "engine-batch-" + port());
		this.batchThread.setDaemon(true);
		this.batchThread.start();
	}

	/**
	 * Start an engine.
	 * @param options how it behaves
	 * @return the engine, which accepts calls
	 */
	public static Engine start(EngineOptions options) {
		return new Engine(options);
	}

	/**
	 * Return the port that it listens on.
	 * @return the port
	 */
	public int port() {
		return ((InetSocketAddress) this.listener.localAddress()).getPort();
	}

	/**
	 * Return the address for calls.
	 * @return the address, such as {@code http://127.0.0.1:9001}
	 */
	public String address() {
		return "http://" + this.options.host() + ":" + port();
	}

	/**
	 * Take no more calls, finish those that run, then stop.
	 */
	@Override
	public void close() {
		this.listener.close().awaitUninterruptibly();
		this.batch.drain();
		while (this.batchThread.isAlive() || this.handler.serviceCalls() > 0) {
			LockSupport.parkNanos(CLOSE_POLL_NANOS);
		}
		awaitWrites();
		this.group.shutdownGracefully(50, 5_000, TimeUnit.MILLISECONDS).awaitUninterruptibly();
	}

	// The last parts of answers are tasks of the event loops, and then bytes that their
	// callers have not taken. Event loops that are told to end close their connections
	// first, so that an answer which the engine had finished would be cut.
	private void awaitWrites() {
		if (this.group.isShuttingDown()) {
			return;
		}
		this.group.forEach((loop) -> loop.submit(() -> {
		}).awaitUninterruptibly());
		long end = System.nanoTime() + WRITE_LIMIT_NANOS;
		while (this.handler.hasPendingWrites() && System.nanoTime() < end) {
			LockSupport.parkNanos(CLOSE_POLL_NANOS);
		}
	}

	private Channel listen() {
		ServerBootstrap bootstrap = new ServerBootstrap().group(this.group)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, BACKLOG)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					channel.pipeline()
						.addLast(new HttpServerCodec(), new HttpServerKeepAliveHandler(),
								new HttpObjectAggregator(MAX_BODY), Engine.this.handler);
				}
			});
		return bootstrap.bind(this.options.host(), this.options.port()).syncUninterruptibly().channel();
	}

}
