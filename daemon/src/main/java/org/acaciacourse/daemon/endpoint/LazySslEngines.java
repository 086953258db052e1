package org.acaciacourse.daemon.endpoint;

import java.util.Optional;

import javax.net.ssl.SSLEngine;
import javax.net.ssl.SSLException;

import org.asynchttpclient.AsyncHttpClientConfig;
import org.asynchttpclient.SslEngineFactory;
import org.asynchttpclient.netty.ssl.DefaultSslEngineFactory;

/**
 * Initializes the default TLS engine factory of the HTTP client at the first connection
 * that needs it. Loading the trusted certificates takes a tenth of a second of CPU time
 * per client, which would slow down every start of a process that uses plain HTTP only.
 * <p>
 * Thread safe.
 */
final class LazySslEngines implements SslEngineFactory {

	private Optional<SslEngineFactory> delegate = Optional.empty();

	@Override
	public SSLEngine newSslEngine(AsyncHttpClientConfig config, String peerHost, int peerPort) {
		return factory(config).newSslEngine(config, peerHost, peerPort);
	}

	private synchronized SslEngineFactory factory(AsyncHttpClientConfig config) {
		if (this.delegate.isEmpty()) {
			SslEngineFactory created = new DefaultSslEngineFactory();
			try {
				created.init(config);
			}
			catch (SSLException ex) {
				throw new IllegalStateException("cannot initialize TLS for connections to endpoints", ex);
			}
			this.delegate = Optional.of(created);
		}
		return this.delegate.get();
	}

	@Override
	public synchronized void destroy() {
		this.delegate.ifPresent(SslEngineFactory::destroy);
	}

}
