package org.acaciacourse.daemon.route;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import org.acaciacourse.core.balance.RoutingParameter;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.route.Route;
import org.acaciacourse.core.stream.StreamKey;
import org.acaciacourse.core.stream.StreamOrigin;
import org.acaciacourse.core.stream.StreamOrigins;
import org.acaciacourse.daemon.http.CallerResponse;
import org.acaciacourse.daemon.telemetry.DecisionLog;
import org.acaciacourse.daemon.telemetry.LogEvent;

/**
 * Binds a request that takes up a stream to the pool and the software version that began
 * it. The origin is what this VM knows, else what another one knows, else the version of
 * the pool if it has had only one for longer than streams live. The latter is derived
 * only if all VMs that were asked have answered, and from a list of endpoints that was
 * read after the request had arrived, for which the request waits a little: the stream
 * may have begun at endpoints of which this VM has not heard. A request whose origin
 * remains unknown is refused: at a wrong version, the caller would get events that do not
 * fit together.
 * <p>
 * Invariant: each request is bound or refused once, unless its caller has gone.
 * <p>
 * Not thread safe: belongs to the event loop.
 */
final class ResumedStreams {

	private static final int MILLIS_PER_SECOND = 1_000;

	/**
	 * The longest time from the arrival of a request until a list is known that was read
	 * after it. Callers give a stream up after two seconds of silence.
	 */
	private static final long MAX_LIST_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_800);

	/**
	 * A request waits for at most its timeout divided by this, so that it is served
	 * after.
	 */
	private static final int TIMEOUT_DIVISOR = 2;

	private final EventLoop loop;

	private final StreamOriginService origins;

	private final PoolStates pools;

	/** The requests that wait for a list of endpoints, the oldest one first. */
	private final Set<Binding> waiting = new LinkedHashSet<>();

	/**
	 * Create the component.
	 * @param loop the event loop
	 * @param origins what the VMs know of streams
	 * @param pools the pools, with the versions of their endpoints
	 */
	ResumedStreams(EventLoop loop, StreamOriginService origins, PoolStates pools) {
		this.loop = loop;
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
		Optional<StreamOrigin> known = known(binding);
		if (known.isPresent()) {
			end(binding, known, Source.KNOWN);
			return;
		}
		response.onDisconnect(() -> binding.callerGone = true);
		binding.key.ifPresentOrElse((key) -> this.origins.ask(key, (found) -> looked(binding, found)),
				() -> derive(binding));
	}

	private Optional<StreamOrigin> known(Binding binding) {
		return binding.key.flatMap(this.origins::known);
	}

	private void looked(Binding binding, StreamOrigins.Found found) {
		binding.asked = found.asked();
		binding.answered = found.answered();
		if (binding.callerGone) {
			return;
		}
		if (found.origin().isPresent()) {
			end(binding, found.origin(), Source.TOLD);
		}
		else if (found.isComplete()) {
			derive(binding);
		}
		else {
			end(binding, Optional.empty(), Source.UNKNOWN);
		}
	}

	private void derive(Binding binding) {
		long now = System.nanoTime();
		boolean mayWait = !this.pools.versions().wasReadSince(binding.arrivedAt) && onlyPool(binding.request.route())
			.flatMap((pool) -> this.pools.versions().latestOnlyVersion(pool, streamLife(), now))
			.isPresent();
		if (mayWait) {
			this.waiting.add(binding);
			this.loop.schedule(() -> stopWaiting(binding), binding.maxWaitNanos() - (now - binding.arrivedAt),
					TimeUnit.NANOSECONDS);
		}
		else {
			endDerived(binding);
		}
	}

	/**
	 * Take up what waited for the list of endpoints; called whenever it was confirmed.
	 */
	void listConfirmed() {
		List.copyOf(this.waiting)
			.stream()
			.filter((binding) -> this.pools.versions().wasReadSince(binding.arrivedAt))
			.forEach(this::stopWaiting);
	}

	private void stopWaiting(Binding binding) {
		if (this.waiting.remove(binding) && !binding.callerGone) {
			endDerived(binding);
		}
	}

	// Whether any request waits for a list of endpoints.
	boolean isWaiting() {
		return !this.waiting.isEmpty();
	}

	private void endDerived(Binding binding) {
		// Another VM may have told it meanwhile.
		Optional<StreamOrigin> told = known(binding);
		Optional<StreamOrigin> derived = (told.isPresent()) ? told : onlyOrigin(binding);
		Source source = (told.isPresent()) ? Source.TOLD : Source.ONLY_VERSION;
		end(binding, derived, (derived.isPresent()) ? source : Source.UNKNOWN);
	}

	private void end(Binding binding, Optional<StreamOrigin> origin, Source source) {
		log(binding, origin, source);
		if (origin.isEmpty()) {
			binding.onRefused.accept(ResultCode.STREAM_ORIGIN_UNKNOWN);
		}
		else if (!binding.request.route().pools().contains(origin.get().pool())) {
			binding.onRefused.accept(ResultCode.STREAM_VERSION_GONE);
		}
		else {
			binding.onBound.accept(binding.request.resumedAt(origin.get()));
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

	private Optional<StreamOrigin> onlyOrigin(Binding binding) {
		return onlyPool(binding.request.route()).flatMap((pool) -> this.pools.versions()
			.onlyVersion(pool, streamLife(), binding.arrivedAt, System.nanoTime())
			.map((version) -> new StreamOrigin(pool, Optional.of(version))));
	}

	// With several pools it would remain open which one began the stream.
	private static Optional<String> onlyPool(Route route) {
		return (route.pools().size() == 1) ? Optional.of(route.pools().get(0)) : Optional.empty();
	}

	private Duration streamLife() {
		double seconds = this.pools.policy().value(RoutingParameter.STREAM_LIFE);
		return Duration.ofMillis(Math.round(seconds * MILLIS_PER_SECOND));
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

		/** The name of the stream, if the caller states it. */
		private final Optional<StreamKey> key;

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
			this.key = request.metadata().resumedRequest().map(request::streamKey);
			this.arrivedAt = arrivedAt;
			this.onBound = onBound;
			this.onRefused = onRefused;
		}

		private long maxWaitNanos() {
			long half = TimeUnit.MILLISECONDS.toNanos(this.request.timeoutMillis() / TIMEOUT_DIVISOR);
			return Math.min(MAX_LIST_WAIT_NANOS, half);
		}

	}

}
