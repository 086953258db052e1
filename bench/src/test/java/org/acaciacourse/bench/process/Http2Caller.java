package org.acaciacourse.bench.process;

import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.handler.codec.http2.Http2StreamChannelBootstrap;
import io.netty.handler.codec.http2.Http2StreamFrameToHttpObjectCodec;
import org.acaciacourse.bench.check.Told;

/**
 * Calls over one HTTP/2 connection with prior knowledge.
 * <p>
 * Thread safe.
 */
final class Http2Caller implements AutoCloseable {

	private static final int MAX_BODY = 1 << 20;

	private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final Channel connection;

	Http2Caller(String address) {
		URI uri = URI.create(address);
		this.connection = new Bootstrap().group(this.group)
			.channel(NioSocketChannel.class)
			.handler(new ChannelInitializer<>() {
				@Override
				protected void initChannel(Channel channel) {
					channel.pipeline()
						.addLast(Http2FrameCodecBuilder.forClient().build(),
								new Http2MultiplexHandler(new ChannelInitializer<>() {
									@Override
									protected void initChannel(Channel pushed) {
										pushed.close();
									}
								}));
				}
			})
			.connect(new InetSocketAddress(uri.getHost(), uri.getPort()))
			.syncUninterruptibly()
			.channel();
	}

	CompletableFuture<Told> chat(String content, boolean streamed) {
		CompletableFuture<Told> told = new CompletableFuture<>();
		new Http2StreamChannelBootstrap(this.connection).handler(new ChannelInitializer<>() {
			@Override
			protected void initChannel(Channel stream) {
				stream.pipeline()
					.addLast(new Http2StreamFrameToHttpObjectCodec(false), new HttpObjectAggregator(MAX_BODY),
							new Receiver(content, streamed, told));
			}
		}).open().addListener((opened) -> ((Channel) opened.getNow()).writeAndFlush(request(content, streamed)));
		return told;
	}

	private static FullHttpRequest request(String content, boolean streamed) {
		String body = "{\"model\":\"" + Cluster.MODEL + "\",\"stream\":" + streamed
				+ ",\"messages\":[{\"role\":\"user\",\"content\":\"" + content + "\"}]}";
		FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST,
				"/v1/chat/completions", Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
		request.headers().set("Authorization", "Bearer " + Cluster.KEY).set("Content-Type", "application/json");
		return request;
	}

	@Override
	public void close() {
		this.connection.close().syncUninterruptibly();
		this.group.shutdownGracefully();
	}

	/** Takes the answer of one stream. */
	private static final class Receiver extends SimpleChannelInboundHandler<FullHttpResponse> {

		private final String content;

		private final boolean streamed;

		private final CompletableFuture<Told> told;

		private Receiver(String content, boolean streamed, CompletableFuture<Told> told) {
			this.content = content;
			this.streamed = streamed;
			this.told = told;
		}

		@Override
		protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
			String text = response.content().toString(StandardCharsets.UTF_8);
			this.told.complete(Answers.told(response.status().code(), text, this.content, "", this.streamed));
		}

		@Override
		public void channelInactive(ChannelHandlerContext ctx) {
			this.told.complete(Told.cut(this.content, "", ""));
		}

	}

}
