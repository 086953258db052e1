package org.acaciacourse.daemon.endpoint;

import java.util.List;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;

/**
 * The codec of the connections of the HTTP client library, which carry one request at a
 * time: its responses are read as strictly as those to routed requests.
 * <p>
 * Not thread safe: belongs to the event loop of the connection.
 */
final class EndpointHttpCodec extends CombinedChannelDuplexHandler<EndpointResponseDecoder, HttpRequestEncoder> {

	/**
	 * Create a codec.
	 * @param decoder the decoder, which is told of each request
	 */
	EndpointHttpCodec(EndpointResponseDecoder decoder) {
		super(decoder, new Encoder(decoder));
	}

	/** Tells the decoder which responses have no body. */
	private static final class Encoder extends HttpRequestEncoder {

		private final EndpointResponseDecoder decoder;

		private Encoder(EndpointResponseDecoder decoder) {
			this.decoder = decoder;
		}

		@Override
		protected void encode(ChannelHandlerContext ctx, Object message, List<Object> out) throws Exception {
			if (message instanceof HttpRequest request) {
				this.decoder.requestSent(HttpMethod.HEAD.equals(request.method()));
			}
			super.encode(ctx, message, out);
		}

	}

}
