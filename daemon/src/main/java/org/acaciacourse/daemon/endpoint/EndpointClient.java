package org.acaciacourse.daemon.endpoint;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.asynchttpclient.AsyncCompletionHandlerBase;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.BoundRequestBuilder;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.Response;
import org.asynchttpclient.netty.channel.ChannelManager;
import org.asynchttpclient.netty.request.NettyRequest;

/**
 * HTTP client for the endpoints. It uses pooled connections for requests that may be
 * repeated, and new connections for requests that may not, for resuming and for status
 * queries.
 * <p>
 * Retries and redirects of the underlying HTTP client are disabled: the dispatcher
 * decides on each attempt, and a hidden second send would run a request twice. Idle
 * connections are closed after a few seconds, before an intermediate network device drops
 * their state.
 * <p>
 * Thread safe.
 */
public final class EndpointClient implements AutoCloseable {

	/** The header with the id of a request, which its response repeats. */
	static final String REQUEST_ID = "x-request-id";

	private static final Logger logger = LogManager.getLogger(EndpointClient.class);

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

	private static final Duration POOLED_IDLE = Duration.ofSeconds(5);

	private static final Duration CONNECTION_TTL = Duration.ofMinutes(5);

	private static final Duration SHORT_REQUEST_TIMEOUT = Duration.ofSeconds(2);

	private static final int MAX_INITIAL_LINE_BYTES = 4 * 1024;

	private static final int MAX_HEADER_BYTES = 32 * 1024;

	private static final int MAX_CHUNK_BYTES = 8 * 1024;

	private final EventLoopGroup loops;

	private final boolean ownsLoops;

	private final AsyncHttpClient pooledClient;

	private final AsyncHttpClient unpooledClient;

	/**
	 * Create a client with event loops of its own.
	 * @param threads the number of event loops
	 */
	public EndpointClient(int threads) {
		this(eventLoops(threads), true);
	}

	/**
	 * Create a client on shared event loops, which their owner shuts down.
	 * @param loops the event loops
	 */
	public EndpointClient(EventLoopGroup loops) {
		this(loops, false);
	}

	private EndpointClient(EventLoopGroup loops, boolean ownsLoops) {
		this.loops = loops;
		this.ownsLoops = ownsLoops;
		this.pooledClient = Dsl.asyncHttpClient(config(true));
		this.unpooledClient = Dsl.asyncHttpClient(config(false));
	}

	/**
	 * Create event loops that the HTTP client accepts. It supports only this type of
	 * group, which is deprecated in Netty 4.2.
	 * @param threads the number of event loops
	 * @return the event loops
	 */
	@SuppressWarnings("deprecation")
	public static EventLoopGroup eventLoops(int threads) {
		return new NioEventLoopGroup(threads, new DefaultThreadFactory("io"));
	}

	private DefaultAsyncHttpClientConfig config(boolean keepAlive) {
		return new DefaultAsyncHttpClientConfig.Builder().setEventLoopGroup(this.loops)
			.setKeepAlive(keepAlive)
			.setMaxRequestRetry(0)
			.setFollowRedirect(false)
			.setEnableAutomaticDecompression(false)
			.setCookieStore(null)
			.setConnectTimeout(CONNECT_TIMEOUT)
			.setRequestTimeout(Duration.ofMillis(-1))
			.setReadTimeout(Duration.ofMillis(-1))
			.setPooledConnectionIdleTimeout(POOLED_IDLE)
			.setConnectionTtl(CONNECTION_TTL)
			.setConnectionPoolCleanerPeriod(Duration.ofSeconds(1))
			.setTcpNoDelay(true)
			.setUserAgent("acaciacourse")
			.setSslEngineFactory(new LazySslEngines())
			.setHttpAdditionalChannelInitializer(EndpointClient::initialize)
			.setShutdownQuietPeriod(Duration.ZERO)
			.build();
	}

	private static void initialize(Channel channel) {
		channel.pipeline().addFirst(ReadGate.NAME, new ReadGate());
		channel.pipeline()
			.replace(ChannelManager.HTTP_CLIENT_CODEC, ChannelManager.HTTP_CLIENT_CODEC, new EndpointHttpCodec(
					new EndpointResponseDecoder(MAX_INITIAL_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES)));
	}

	/**
	 * Send a request; the response is delivered to the call.
	 * @param request the request
	 * @param call receives the response
	 */
	public void send(EndpointCall.Request request, EndpointCall call) {
		AsyncHttpClient client = (request.newConnection()) ? this.unpooledClient : this.pooledClient;
		BoundRequestBuilder builder = client.prepare(request.method(), request.url());
		request.headers().forEach(builder::setHeader);
		if (request.body().length > 0) {
			builder.setBody(request.body());
		}
		builder.execute(call);
	}

	/**
	 * Send a short request without a body over a new connection.
	 * @param method the HTTP method
	 * @param url the complete URL
	 * @return the response; fails if none is received within 2 s
	 */
	public CompletionStage<Response> request(String method, String url) {
		return sendShortRequest(() -> this.unpooledClient.prepare(method, url), new AsyncCompletionHandlerBase());
	}

	/**
	 * Send a short GET request with an id.
	 * @param url the complete URL
	 * @param id the id, which no other request has
	 * @param newConnection whether to open a new connection for it. Over a pooled
	 * connection, only a response with the id counts: the library takes a late response
	 * to an earlier request for the response to this one.
	 * @return the response; fails if none is received within 2 s
	 */
	public CompletionStage<Response> request(String url, String id, boolean newConnection) {
		AsyncHttpClient client = (newConnection) ? this.unpooledClient : this.pooledClient;
		AsyncHandler<Response> handler = (newConnection) ? new AsyncCompletionHandlerBase()
				: new IdentifiedResponseHandler(id);
		return sendShortRequest(() -> client.prepareGet(url).setHeader(REQUEST_ID, id), handler);
	}

	/**
	 * Send a short POST request over a new connection, unless sending is no longer
	 * permitted once the connection is open.
	 * @param url the complete URL
	 * @param headers headers beside the content type
	 * @param body the JSON body
	 * @param timeout the time after which the connection is closed
	 * @param maySend evaluated immediately before the first byte is sent
	 * @return the response; fails if none is received in time or the request was not sent
	 */
	public CompletionStage<Response> post(String url, Map<String, String> headers, byte[] body, Duration timeout,
			BooleanSupplier maySend) {
		BoundRequestBuilder builder = this.unpooledClient.preparePost(url);
		headers.forEach(builder::setHeader);
		return builder.setHeader("content-type", "application/json")
			.setBody(body)
			.setRequestTimeout(timeout)
			.execute(new AsyncCompletionHandlerBase() {
				@Override
				public void onRequestSend(NettyRequest request) {
					if (!maySend.getAsBoolean()) {
						throw new IllegalStateException("sending the request is no longer permitted");
					}
				}
			})
			.toCompletableFuture();
	}

	private static CompletionStage<Response> sendShortRequest(Supplier<BoundRequestBuilder> request,
			AsyncHandler<Response> handler) {
		try {
			return request.get().setRequestTimeout(SHORT_REQUEST_TIMEOUT).execute(handler).toCompletableFuture();
		}
		catch (RuntimeException ex) {
			return CompletableFuture.failedFuture(ex);
		}
	}

	@Override
	public void close() {
		try {
			this.pooledClient.close();
			this.unpooledClient.close();
		}
		catch (IOException ex) {
			logger.warn("cannot close the HTTP client: {}", ex.toString());
		}
		if (this.ownsLoops) {
			this.loops.shutdownGracefully(0, 2, TimeUnit.SECONDS).awaitUninterruptibly();
		}
	}

}
