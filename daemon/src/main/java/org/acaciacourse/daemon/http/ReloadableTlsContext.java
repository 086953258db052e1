package org.acaciacourse.daemon.http;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.List;

import io.netty.handler.codec.http2.Http2SecurityUtil;
import io.netty.handler.ssl.ApplicationProtocolConfig;
import io.netty.handler.ssl.ApplicationProtocolNames;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import io.netty.handler.ssl.SupportedCipherSuiteFilter;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * A TLS context loaded from two PEM files and reloaded when one of them changes. If
 * loading fails, the current context stays in use: a partially written certificate must
 * not lock callers out. Changed files are loaded only once their modification times are
 * the same in two consecutive checks: between the writes of the two files, a new key is
 * paired with an old certificate, and every handshake would fail.
 * <p>
 * Thread safe: {@link #reloadIfChanged} is called by one thread, {@link #context} by any.
 */
final class ReloadableTlsContext {

	private static final Logger logger = LogManager.getLogger(ReloadableTlsContext.class);

	private final Path certificate;

	private final Path key;

	private volatile SslContext context;

	private List<FileTime> loadedTimes;

	private List<FileTime> lastSeenTimes;

	ReloadableTlsContext(Path certificate, Path key) throws IOException {
		this.certificate = certificate;
		this.key = key;
		this.loadedTimes = modificationTimes();
		this.lastSeenTimes = this.loadedTimes;
		this.context = load();
	}

	SslContext context() {
		return this.context;
	}

	void reloadIfChanged() {
		try {
			List<FileTime> currentTimes = modificationTimes();
			if (!currentTimes.equals(this.loadedTimes) && currentTimes.equals(this.lastSeenTimes)) {
				this.context = load();
				this.loadedTimes = currentTimes;
				logger.info("TLS certificate reloaded");
			}
			this.lastSeenTimes = currentTimes;
		}
		catch (IOException | RuntimeException ex) {
			logger.warn("cannot reload TLS certificate, keeping the current one: {}", ex.toString());
		}
	}

	private List<FileTime> modificationTimes() throws IOException {
		return List.of(Files.getLastModifiedTime(this.certificate), Files.getLastModifiedTime(this.key));
	}

	private SslContext load() throws IOException {
		return SslContextBuilder.forServer(this.certificate.toFile(), this.key.toFile())
			.sslProvider(SslProvider.JDK)
			.ciphers(Http2SecurityUtil.CIPHERS, SupportedCipherSuiteFilter.INSTANCE)
			.applicationProtocolConfig(new ApplicationProtocolConfig(ApplicationProtocolConfig.Protocol.ALPN,
					ApplicationProtocolConfig.SelectorFailureBehavior.NO_ADVERTISE,
					ApplicationProtocolConfig.SelectedListenerFailureBehavior.ACCEPT, ApplicationProtocolNames.HTTP_2,
					ApplicationProtocolNames.HTTP_1_1))
			.build();
	}

}
