package org.acaciacourse.daemon.endpoint;

import java.net.InetSocketAddress;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaders;
import org.asynchttpclient.AsyncCompletionHandlerBase;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.Response;

/**
 * Collects the response to a request over a pooled connection. Invariant: only a response
 * with the id of the request is returned. Any other one is a late response to an earlier
 * request on the connection: the request fails, and the connection is closed, as its own
 * response may still follow.
 * <p>
 * Not thread safe: after the connection is chosen, it belongs to its event loop.
 */
final class IdentifiedResponseHandler extends AsyncCompletionHandlerBase {

	private final String id;

	private volatile Channel channel;

	private boolean identified;

	IdentifiedResponseHandler(String id) {
		this.id = id;
	}

	@Override
	public void onTcpConnectSuccess(InetSocketAddress address, Channel connection) {
		this.channel = connection;
	}

	@Override
	public void onConnectionPooled(Channel connection) {
		this.channel = connection;
	}

	@Override
	public State onHeadersReceived(HttpHeaders headers) throws Exception {
		this.identified = this.id.equals(headers.get(EndpointClient.REQUEST_ID));
		requireIdentified();
		return super.onHeadersReceived(headers);
	}

	// The rest of a late response arrives without its head if the connection was idle
	// when that came.
	@Override
	public State onBodyPartReceived(HttpResponseBodyPart part) throws Exception {
		requireIdentified();
		return super.onBodyPartReceived(part);
	}

	@Override
	public Response onCompleted(Response response) {
		requireIdentified();
		return response;
	}

	private void requireIdentified() {
		if (!this.identified) {
			Channel open = this.channel;
			if (open != null) {
				open.close();
			}
			throw new IllegalStateException("response without the id of the request " + this.id);
		}
	}

}
