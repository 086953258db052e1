package org.acaciacourse.daemon.route;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.acaciacourse.core.balance.RoutingParameter;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.route.Route;
import org.acaciacourse.core.stream.StreamKey;
import org.acaciacourse.core.stream.StreamOrigin;
import org.acaciacourse.daemon.http.CallerResponse;
import org.acaciacourse.daemon.telemetry.DecisionLog;
import org.acaciacourse.daemon.telemetry.LogEvent;

/**
 * Binds a request that takes up a stream to the pool and the software version that began
 * it. The origin is what this VM knows, else what another one knows, else the version of
 * the pool if it has had only one for longer than streams live. A request whose origin
 * remains unknown is refused: at a wrong version, the caller would get events that do not
 * fit together.
 * <p>
 * Not thread safe: belongs to the event loop.
 */
final class ResumedStreams {

	private static final int MILLIS_PER_SECOND = 1_000;

	private final StreamOriginService origins;

	private final PoolStates pools;

	/**
	 * Create the component.
	 * @param origins what the VMs know of streams
	 * @param pools the pools, with the versions of their endpoints
	 */
	ResumedStreams(StreamOriginService origins, PoolStates pools) {
		this.origins = origins;
		this.pools = pools;
	}

	/**
	 * Bind a request to the origin of its stream.
	 * @param request the request, which takes up a stream
	 * @param response takes its response
	 * @param arrivedAt when the request was read
	 * @param onBound receives the request once its origin is known, unless the caller has
	 * gone
	 * @param onRefused receives the reason if it can't be served
	 */
	void bind(RoutedRequest request, CallerResponse response, long arrivedAt, Consumer<RoutedRequest> onBound,
			Consumer<ResultCode> onRefused) {
		Binding binding = new Binding(request, arrivedAt, onBound, onRefused);
		Optional<StreamKey> key = request.metadata().resumedRequest().map(request::streamKey);
		Optional<StreamOrigin> known = key.flatMap(this.origins::known);
		if (known.isPresent() || key.isEmpty()) {
			end(binding, known, Source.KNOWN);
			return;
		}
		response.onDisconnect(() -> binding.callerGone = true);
		this.origins.ask(key.get(), (found) -> {
			binding.asked = found.asked();
			binding.answered = found.answered();
			if (!binding.callerGone) {
				end(binding, found.origin(), Source.TOLD);
			}
		});
	}

	private void end(Binding binding, Optional<StreamOrigin> origin, Source source) {
		Optional<StreamOrigin> derived = (origin.isPresent()) ? origin : onlyOrigin(binding.request.route());
		Source used = (origin.isPresent()) ? source : (derived.isPresent()) ? Source.ONLY_VERSION : Source.UNKNOWN;
		log(binding, derived, used);
		if (derived.isEmpty()) {
			binding.onRefused.accept(ResultCode.STREAM_ORIGIN_UNKNOWN);
		}
		else if (!binding.request.route().pools().contains(derived.get().pool())) {
			binding.onRefused.accept(ResultCode.STREAM_VERSION_GONE);
		}
		else {
			binding.onBound.accept(binding.request.resumedAt(derived.get()));
		}
	}

	private void log(Binding binding, Optional<StreamOrigin> origin, Source source) {
		long now = System.nanoTime();
		OptionalLong listAge = this.pools.versions().ageNanos(now);
		DecisionLog.write(LogEvent.STREAM_ORIGIN, binding.request.metadata().id(),
				binding.request.metadata().resumedRequest().orElse(null), source.name(),
				origin.map(StreamOrigin::pool).orElse(null), origin.flatMap(StreamOrigin::version).orElse(null),
				TimeUnit.NANOSECONDS.toMillis(now - binding.arrivedAt), binding.asked, binding.answered,
				(listAge.isPresent()) ? TimeUnit.NANOSECONDS.toMillis(listAge.getAsLong()) : null,
				TimeUnit.NANOSECONDS.toMillis(this.pools.versions().knownNanos(now)));
	}

	// With several pools it would remain open which one began the stream.
	private Optional<StreamOrigin> onlyOrigin(Route route) {
		List<String> pools = route.pools();
		if (pools.size() != 1) {
			return Optional.empty();
		}
		double seconds = this.pools.policy().value(RoutingParameter.STREAM_LIFE);
		Duration streamLife = Duration.ofMillis(Math.round(seconds * MILLIS_PER_SECOND));
		return this.pools.versions()
			.onlyVersion(pools.get(0), streamLife, System.nanoTime())
			.map((version) -> new StreamOrigin(pools.get(0), Optional.of(version)));
	}

	/** How the origin of a stream was found. */
	private enum Source {

		/** This VM knew it. */
		KNOWN,

		/** Another VM told it when asked. */
		TOLD,

		/** The pool has had no other version for longer than streams live. */
		ONLY_VERSION,

		/** It was not found. */
		UNKNOWN

	}

	/** A request whose origin is being found. */
	private static final class Binding {

		private final RoutedRequest request;

		private final long arrivedAt;

		private final Consumer<RoutedRequest> onBound;

		private final Consumer<ResultCode> onRefused;

		/** How many VMs were asked. */
		private int asked;

		/** How many of these answered. */
		private int answered;

		private boolean callerGone;

		private Binding(RoutedRequest request, long arrivedAt, Consumer<RoutedRequest> onBound,
				Consumer<ResultCode> onRefused) {
			this.request = request;
			this.arrivedAt = arrivedAt;
			this.onBound = onBound;
			this.onRefused = onRefused;
		}

	}

}
