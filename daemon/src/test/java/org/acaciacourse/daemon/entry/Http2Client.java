package org.acaciacourse.daemon.entry;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http2.DefaultHttp2DataFrame;
import io.netty.handler.codec.http2.DefaultHttp2Headers;
import io.netty.handler.codec.http2.DefaultHttp2HeadersFrame;
import io.netty.handler.codec.http2.Http2DataFrame;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2GoAwayFrame;
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.handler.codec.http2.Http2HeadersFrame;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.handler.codec.http2.Http2StreamChannel;
import io.netty.handler.codec.http2.Http2StreamChannelBootstrap;
import io.netty.handler.codec.http2.Http2StreamFrame;
import io.netty.util.ReferenceCountUtil;

/**
 * An HTTP/2 client with prior knowledge, over one connection.
 * <p>
 * Not thread safe: belongs to one test.
 */
final class Http2Client implements AutoCloseable {

	/** Completes when the server sends a GOAWAY frame. */
	final CompletableFuture<Void> goAway = new CompletableFuture<>();

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final Channel connection;

	Http2Client(int port) {
		this.connection = new Bootstrap().group(this.group)
			.channel(NioSocketChannel.class)
			.handler(new ChannelInitializer<Channel>() {

				@Override
				protected void initChannel(Channel channel) {
					channel.pipeline().addLast(Http2FrameCodecBuilder.forClient().build());
					channel.pipeline().addLast(new Http2MultiplexHandler(new ChannelInboundHandlerAdapter()));
					channel.pipeline().addLast(new GoAwayReader());
				}

			})
			.connect("127.0.0.1", port)
			.syncUninterruptibly()
			.channel();
	}

	CompletableFuture<String> post(String path, String body) throws Exception {
		CompletableFuture<String> response = new CompletableFuture<>();
		Http2StreamChannel stream = new Http2StreamChannelBootstrap(this.connection).handler(new Collector(response))
			.open()
			.get(20, TimeUnit.SECONDS);
		Http2Headers headers = new DefaultHttp2Headers().method("POST").path(path).scheme("http").authority("x");
		headers.add("authorization", "Bearer sample");
		stream.write(new DefaultHttp2HeadersFrame(headers));
		stream.writeAndFlush(new DefaultHttp2DataFrame(Unpooled.copiedBuffer(body, StandardCharsets.UTF_8), true));
		return response;
	}

	@Override
	public void close() {
		this.connection.close();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	private final class GoAwayReader extends ChannelInboundHandlerAdapter {

		@Override
		public void channelRead(ChannelHandlerContext ctx, Object message) {
			if (message instanceof Http2GoAwayFrame) {
				Http2Client.this.goAway.complete(null);
			}
			ReferenceCountUtil.release(message);
		}

	}

	/** Collects the status and the body of one response. */
	private static final class Collector extends SimpleChannelInboundHandler<Http2StreamFrame> {

		private final CompletableFuture<String> response;

		private final StringBuilder text = new StringBuilder();

		private Collector(CompletableFuture<String> response) {
			this.response = response;
		}

		@Override
		protected void channelRead0(ChannelHandlerContext ctx, Http2StreamFrame frame) {
			boolean end = false;
			if (frame instanceof Http2HeadersFrame headers) {
				this.text.append(headers.headers().status()).append('\n');
				end = headers.isEndStream();
			}
			else if (frame instanceof Http2DataFrame data) {
				this.text.append(data.content().toString(StandardCharsets.UTF_8));
				end = data.isEndStream();
			}
			if (end) {
				this.response.complete(this.text.toString());
			}
		}

		@Override
		public void channelInactive(ChannelHandlerContext ctx) {
			this.response
				.completeExceptionally(new IllegalStateException("stream closed before its end: " + this.text));
		}

	}

}
