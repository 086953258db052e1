package org.acaciacourse.daemon.control;

import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;

import org.acaciacourse.core.manifest.ManifestDocument;
import org.acaciacourse.core.manifest.ManifestParser;
import org.acaciacourse.core.model.Manifest;
import org.acaciacourse.core.state.ControlState;

/**
 * The current manifest of this VM's replica, read again when its number has increased.
 * <p>
 * Not thread safe: it is used by one thread.
 */
final class ManifestView implements Supplier<Optional<Manifest>> {

	private static final long WAIT_SECONDS = 1;

	private final ReplicaLoop loop;

	private Optional<Manifest> manifest = Optional.empty();

	ManifestView(ReplicaLoop loop) {
		this.loop = loop;
	}

	@Override
	public Optional<Manifest> get() {
		long number = this.loop.views().latest().number();
		if (number > this.manifest.map(Manifest::number).orElse(0L)) {
			readDocument().ifPresent((document) -> this.manifest = ManifestParser.manifest(document).toJavaOptional());
		}
		return this.manifest;
	}

	private Optional<ManifestDocument> readDocument() {
		try {
			return Optional.of(this.loop.query(ControlState::manifestDocument).get(WAIT_SECONDS, TimeUnit.SECONDS));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return Optional.empty();
		}
		catch (ExecutionException | TimeoutException ex) {
			return Optional.empty();
		}
	}

}
