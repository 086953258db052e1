package org.acaciacourse.daemon.endpoint;

import javax.net.ssl.SSLEngine;

import org.asynchttpclient.AsyncHttpClientConfig;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class LazySslEnginesTests {

	private final AsyncHttpClientConfig config = new DefaultAsyncHttpClientConfig.Builder().build();

	// init() does not initialize the default factory. The first TLS connection must
	// still get an engine, and one that verifies the host name of its peer.
	@Test
	void firstConnectionGetsAnEngineThatVerifiesItsPeer() throws Exception {
		LazySslEngines engines = new LazySslEngines();
		engines.init(this.config);
		SSLEngine engine = engines.newSslEngine(this.config, "endpoint.example", 443);
		assertThat(engine.getUseClientMode()).isTrue();
		assertThat(engine.getPeerHost()).isEqualTo("endpoint.example");
		assertThat(engine.getSSLParameters().getEndpointIdentificationAlgorithm()).isEqualTo("HTTPS");
		engines.destroy();
	}

	// A process that used plain HTTP only shuts down.
	@Test
	void unusedFactoryCanBeDestroyed() {
		new LazySslEngines().destroy();
	}

}
