package org.acaciacourse.daemon.tunnel;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.util.ReferenceCountUtil;
import io.vavr.control.Try;
import org.acaciacourse.core.path.EndpointLink;
import org.acaciacourse.core.path.LinkSign;
import org.acaciacourse.core.route.FleetEndpoint;
import org.acaciacourse.daemon.codec.ThriftBytes;
import org.acaciacourse.daemon.inner.InternalConnection;
import org.acaciacourse.protocol.generated.TunnelOpenRecord;
import org.acaciacourse.protocol.generated.TunnelOpenedRecord;

/**
 * A tunnel on its server, between another entry VM, the client, and an endpoint. Each
 * side is read only while the other one accepts data, so that a slow reader bounds the
 * memory used.
 * <p>
 * Not thread safe: belongs to the event loop of its server.
 */
final class TunnelSession extends ChannelInboundHandlerAdapter {

	/**
	 * Less than clients wait, so that they learn why there is no connection.
	 */
	private static final int CONNECT_TIMEOUT_MILLIS = 400;

	/** A client asks for its endpoint as soon as it is connected. */
	private static final long OPEN_TIMEOUT_MILLIS = 2_000;

	/** More than the key, an instance and a statement take. */
	private static final int MAX_OPEN_BYTES = 8 * 1024;

	private static final String DECODER = "decoder";

	private final TunnelServer server;

	private final Channel client;

	private Optional<Channel> endpoint = Optional.empty();

	private String instance = "";

	private boolean openReceived;

	TunnelSession(TunnelServer server, Channel client) {
		this.server = server;
		this.client = client;
	}

	void start() {
		this.client.pipeline().addLast(DECODER, TunnelFrame.decoder(MAX_OPEN_BYTES));
		this.client.pipeline().addLast(this);
		this.server.loop().schedule(this::closeUnlessOpened, OPEN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void closeUnlessOpened() {
		if (!this.openReceived) {
			this.client.close();
		}
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		if (this.endpoint.isPresent()) {
			this.endpoint.get().write(message);
			return;
		}
		try {
			readOpen((ByteBuf) message);
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void readOpen(ByteBuf frame) {
		boolean isOpen = TunnelFrame.read(frame).equals(Optional.of(TunnelFrame.OPEN));
		byte[] content = new byte[frame.readableBytes()];
		frame.readBytes(content);
		Try<TunnelOpenRecord> record = ThriftBytes.decode(content, new TunnelOpenRecord());
		boolean authorized = isOpen && !this.openReceived && record.isSuccess()
				&& this.server.key().matches(record.get().getSharedKey());
		this.openReceived = true;
		if (!authorized) {
			this.client.close();
			return;
		}
		EndpointStatement statement = EndpointStatement.of(record.get());
		if (statement.restricts()) {
			this.server.targets().stated(statement);
			refuse(TunnelResult.NOTED);
		}
		else {
			open(statement.instance());
		}
	}

	private void open(String target) {
		this.instance = target;
		open(this.server.targets().find(target));
	}

	private void open(Optional<FleetEndpoint> target) {
		Optional<TunnelResult> refusal = this.server.refusal();
		if (refusal.isPresent()) {
			refuse(refusal.get());
		}
		else if (target.isEmpty()) {
			refuse(TunnelResult.UNKNOWN_ENDPOINT);
		}
		else {
			EndpointLink link = this.server.targets().link(this.instance);
			if (this.server.targets().mayGetRequests(this.instance) && link.mayConnect(System.nanoTime())) {
				connect(target.get(), link);
			}
			else {
				refuse(TunnelResult.UNREACHABLE);
			}
		}
	}

	private void connect(FleetEndpoint target, EndpointLink link) {
		TcpSockets.endpointBootstrap(this.server.loop(), CONNECT_TIMEOUT_MILLIS)
			.handler(new EndpointSide(link))
			.connect(InternalConnection.parse(target.address()))
			.addListener((ChannelFutureListener) (future) -> {
				if (future.isSuccess()) {
					link.connected(System.nanoTime());
					connected(future.channel());
				}
				else {
					connectFailed(link, TcpSockets.isRefused(future.cause()));
				}
			});
	}

	// While this VM doubts its own links, a refusal says nothing about the endpoint.
	private void connectFailed(EndpointLink link, boolean refused) {
		long now = System.nanoTime();
		link.connectFailed((refused) ? LinkSign.REFUSED : LinkSign.TIMEOUT, now);
		refuse((refused && !link.isPathDoubted(now)) ? TunnelResult.REFUSED : TunnelResult.UNREACHABLE);
	}

	private void connected(Channel channel) {
		if (!this.client.isActive()) {
			channel.close();
			return;
		}
		if (!this.server.targets().mayGetRequests(this.instance)) {
			channel.close();
			refuse(TunnelResult.UNREACHABLE);
			return;
		}
		this.endpoint = Optional.of(channel);
		this.server.opened(this);
		this.client.pipeline().remove(DECODER);
		this.client.writeAndFlush(opened(TunnelResult.OPENED));
	}

	private static ByteBuf opened(TunnelResult result) {
		return TunnelFrame.OPENED.of(ThriftBytes.encode(new TunnelOpenedRecord(result.number())));
	}

	private void refuse(TunnelResult result) {
		this.client.writeAndFlush(opened(result)).addListener(ChannelFutureListener.CLOSE);
	}

	boolean leadsTo(String endpointInstance) {
		return this.instance.equals(endpointInstance);
	}

	void announceStop() {
		this.client.writeAndFlush(TunnelFrame.STOPPING.of());
	}

	void close() {
		this.client.close();
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext ctx) {
		this.endpoint.ifPresent((channel) -> {
			channel.flush();
			this.client.config().setAutoRead(channel.isWritable());
		});
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext ctx) {
		this.endpoint.ifPresent((channel) -> channel.config().setAutoRead(this.client.isWritable()));
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		this.endpoint.ifPresent(Channel::close);
		this.server.closed(this);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		ctx.close();
	}

	/**
	 * The connection to the endpoint. Without the end of its input it was reset, which a
	 * failed write may hide.
	 */
	private final class EndpointSide extends ChannelInboundHandlerAdapter {

		private final EndpointLink link;

		private boolean failed;

		private boolean inputEnded;

		private EndpointSide(EndpointLink link) {
			this.link = link;
		}

		@Override
		public void channelRead(ChannelHandlerContext ctx, Object message) {
			this.link.alive(System.nanoTime());
			ByteBuf data = (ByteBuf) message;
			TunnelSession.this.client.write(TunnelFrame.DATA.header(data.readableBytes()));
			TunnelSession.this.client.write(data);
		}

		@Override
		public void channelReadComplete(ChannelHandlerContext ctx) {
			TunnelSession.this.client.flush();
			ctx.channel().config().setAutoRead(TunnelSession.this.client.isWritable());
		}

		@Override
		public void channelWritabilityChanged(ChannelHandlerContext ctx) {
			TunnelSession.this.client.config().setAutoRead(ctx.channel().isWritable());
		}

		@Override
		public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
			if (event instanceof ChannelInputShutdownEvent) {
				this.inputEnded = true;
				ctx.close();
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
			this.failed = true;
			this.link.lost(LinkSign.RESET, System.nanoTime());
			ctx.close();
		}

		@Override
		public void channelInactive(ChannelHandlerContext ctx) {
			if (this.inputEnded && !this.failed) {
				TunnelSession.this.client.writeAndFlush(TunnelFrame.END.of()).addListener(ChannelFutureListener.CLOSE);
			}
			else {
				TunnelSession.this.client.close();
			}
		}

	}

}
