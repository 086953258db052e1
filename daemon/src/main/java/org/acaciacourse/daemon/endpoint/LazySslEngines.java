package org.acaciacourse.daemon.endpoint;

import java.util.Optional;

import javax.net.ssl.SSLEngine;
import javax.net.ssl.SSLException;

import org.asynchttpclient.AsyncHttpClientConfig;
import org.asynchttpclient.SslEngineFactory;
import org.asynchttpclient.netty.ssl.DefaultSslEngineFactory;

/**
 * The HTTP client's usual engines for TLS, prepared at the first connection that needs
 * one. Reading all trusted certificates takes a tenth of a second of processor time, once
 * for each client, which a process that only speaks plain HTTP would pay at each start.
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
				throw new IllegalStateException("TLS is not available", ex);
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
