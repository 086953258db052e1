package org.acaciacourse.daemon.entry;

import java.io.IOException;
import java.io.StringWriter;
import java.math.BigInteger;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.cert.X509Certificate;
import java.time.Duration;
import java.time.Instant;
import java.util.Date;

import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.TrustManager;
import javax.net.ssl.X509ExtendedTrustManager;
import javax.security.auth.x500.X500Principal;

import org.bouncycastle.cert.jcajce.JcaX509v3CertificateBuilder;
import org.bouncycastle.openssl.jcajce.JcaPEMWriter;
import org.bouncycastle.openssl.jcajce.JcaPKCS8Generator;
import org.bouncycastle.operator.jcajce.JcaContentSignerBuilder;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;

class TlsTests {

	private static final Duration LIMIT = Duration.ofSeconds(30);

	private static void writeFiles(Path folder, int serial) throws Exception {
		KeyPair keys = KeyPairGenerator.getInstance("RSA").generateKeyPair();
		X500Principal name = new X500Principal("CN=localhost");
		Instant now = Instant.now();
		var certificate = new JcaX509v3CertificateBuilder(name, BigInteger.valueOf(serial),
				Date.from(now.minusSeconds(60)), Date.from(now.plusSeconds(3600)), name, keys.getPublic())
			.build(new JcaContentSignerBuilder("SHA256withRSA").build(keys.getPrivate()));
		write(folder.resolve("key.pem"), new JcaPKCS8Generator(keys.getPrivate(), null));
		write(folder.resolve("chain.pem"), certificate);
	}

	private static void write(Path file, Object object) throws IOException {
		StringWriter text = new StringWriter();
		try (JcaPEMWriter writer = new JcaPEMWriter(text)) {
			writer.writeObject(object);
		}
		Files.writeString(file, text.toString());
	}

	private static HttpResponse<String> models(EntryFixture entry) throws Exception {
		SSLContext context = SSLContext.getInstance("TLS");
		context.init(null, new TrustManager[] { new TrustAll() }, null);
		URI uri = URI.create("https://127.0.0.1:" + entry.daemon.port() + "/v1/models");
		return HttpClient.newBuilder()
			.sslContext(context)
			.build()
			.send(HttpRequest.newBuilder(uri).header("Authorization", "Bearer sample").build(),
					HttpResponse.BodyHandlers.ofString());
	}

	private static BigInteger serial(HttpResponse<String> response) throws Exception {
		return ((X509Certificate) response.sslSession().orElseThrow().getPeerCertificates()[0]).getSerialNumber();
	}

	@Nested
	class Served {

		// The certificate files are replaced while the daemon runs: new connections use
		// the
		// new certificate without a restart.
		@Test
		void http2IsNegotiatedAndARenewedCertificateIsUsed(@TempDir Path folder) throws Exception {
			writeFiles(folder, 1);
			try (EntryFixture entry = EntryFixture.with()
				.setting("tls-certificate = " + folder.resolve("chain.pem"))
				.setting("tls-key = " + folder.resolve("key.pem"))
				.start()) {
				HttpResponse<String> response = models(entry);
				assertThat(response.statusCode()).isEqualTo(200);
				assertThat(response.version()).isEqualTo(HttpClient.Version.HTTP_2);
				assertThat(serial(response)).isEqualTo(BigInteger.ONE);
				writeFiles(folder, 2);
				Instant end = Instant.now().plus(LIMIT);
				while (serial(models(entry)).equals(BigInteger.ONE)) {
					assertThat(Instant.now()).isLessThan(end);
				}
			}
		}

	}

	/** Accepts every certificate. */
	private static final class TrustAll extends X509ExtendedTrustManager {

		@Override
		public void checkClientTrusted(X509Certificate[] chain, String type, Socket socket) {
		}

		@Override
		public void checkServerTrusted(X509Certificate[] chain, String type, Socket socket) {
		}

		@Override
		public void checkClientTrusted(X509Certificate[] chain, String type, SSLEngine engine) {
		}

		@Override
		public void checkServerTrusted(X509Certificate[] chain, String type, SSLEngine engine) {
		}

		@Override
		public void checkClientTrusted(X509Certificate[] chain, String type) {
		}

		@Override
		public void checkServerTrusted(X509Certificate[] chain, String type) {
		}

		@Override
		public X509Certificate[] getAcceptedIssuers() {
			return new X509Certificate[0];
		}

	}

}
