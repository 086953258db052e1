package org.acaciacourse.daemon.http;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http2.Http2FrameCodec;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.handler.codec.http2.Http2Settings;
import io.netty.handler.codec.http2.Http2StreamFrameToHttpObjectCodec;
import io.netty.handler.ssl.ApplicationProtocolNames;
import io.netty.handler.ssl.ApplicationProtocolNegotiationHandler;
import org.acaciacourse.core.memory.MemoryBudget;

/**
 * Configures the channel pipeline of a caller's connection: HTTP/1.1, HTTP/2 with prior
 * knowledge, or either over TLS as negotiated by ALPN.
 * <p>
 * Thread safe.
 */
final class ConnectionInitializer extends ChannelInitializer<Channel> {

	/** Handler name of the request reader in the pipeline of an HTTP/1.1 connection. */
	static final String READER = "reader";

	/** Handler name of the frame codec in the pipeline of an HTTP/2 connection. */
	static final String HTTP2 = "http2";

	private final Supplier<HttpLimits> limits;

	private final RequestHandler handler;

	private final ConnectionLimiter limiter;

	private final Optional<ReloadableTlsContext> tls;

	private final MemoryBudget budget;

	/** By event loop; an event loop serves each of its connections to the end. */
	private final Map<EventLoop, RequestMemory> memories = new ConcurrentHashMap<>();

	ConnectionInitializer(Supplier<HttpLimits> limits, RequestHandler handler, ConnectionLimiter limiter,
			Optional<ReloadableTlsContext> tls, MemoryBudget budget) {
		this.limits = limits;
		this.handler = handler;
		this.limiter = limiter;
		this.tls = tls;
		this.budget = budget;
	}

	@Override
	protected void initChannel(Channel channel) {
		ChannelPipeline pipeline = channel.pipeline();
		pipeline.addLast(this.limiter);
		if (this.tls.isPresent()) {
			pipeline.addLast(this.tls.get().context().newHandler(channel.alloc()));
			pipeline.addLast(new AlpnHandler());
		}
		else {
			pipeline.addLast(
					new ProtocolDetector(this.limits.get().readTimeout(), this::configureHttp1, this::configureHttp2));
		}
	}

	private RequestMemory memory(Channel channel) {
		return this.memories.computeIfAbsent(channel.eventLoop(), (loop) -> new RequestMemory(this.budget));
	}

	private void configureHttp1(ChannelPipeline pipeline) {
		HttpLimits currentLimits = this.limits.get();
		RequestReader reader = new RequestReader(currentLimits, this.handler, memory(pipeline.channel()), false);
		pipeline.addLast(new BoundedRequestDecoder(currentLimits, reader));
		pipeline.addLast(new CallerResponseEncoder(reader::isHeadRequested));
		pipeline.addLast(READER, reader);
	}

	private void configureHttp2(ChannelPipeline pipeline) {
		ConnectionUse.of(pipeline.channel()).busy();
		HttpLimits currentLimits = this.limits.get();
		Http2Settings settings = Http2Settings.defaultSettings()
			.maxConcurrentStreams(HttpLimits.MAX_STREAMS)
			.maxHeaderListSize(currentLimits.maxHeader());
		Http2FrameCodec codec = Http2FrameCodecBuilder.forServer().initialSettings(settings).build();
		pipeline.addLast(HTTP2, codec);
		pipeline.addLast(new Http2MultiplexHandler(new ChannelInitializer<Channel>() {

			@Override
			protected void initChannel(Channel stream) {
				stream.pipeline().addLast(new Http2StreamFrameToHttpObjectCodec(true));
				stream.pipeline()
					.addLast(
							new RequestReader(currentLimits, ConnectionInitializer.this.handler, memory(stream), true));
			}

		}));
		pipeline.addLast(new Http2Keepalive(codec.connection(), currentLimits.idleTimeout()));
	}

	/** Configures the pipeline for the protocol that ALPN negotiated. */
	private final class AlpnHandler extends ApplicationProtocolNegotiationHandler {

		private AlpnHandler() {
			super(ApplicationProtocolNames.HTTP_1_1);
		}

		@Override
		protected void configurePipeline(ChannelHandlerContext ctx, String protocol) {
			if (ApplicationProtocolNames.HTTP_2.equals(protocol)) {
				configureHttp2(ctx.pipeline());
			}
			else {
				configureHttp1(ctx.pipeline());
			}
		}

	}

}
