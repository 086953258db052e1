package org.acaciacourse.daemon.route;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;

import io.netty.channel.EventLoop;
import org.acaciacourse.core.route.FleetEndpoint;
import org.acaciacourse.core.stream.OriginMessage;
import org.acaciacourse.core.stream.StreamKey;
import org.acaciacourse.core.stream.StreamOrigin;
import org.acaciacourse.core.stream.StreamOrigins;
import org.acaciacourse.core.stream.UnconfirmedOrigins;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Runs the {@link StreamOrigins} of an entry VM: its timers, its messages and the
 * requests that wait for an origin. Invariant: each of these is called back once, within
 * some tenths of a second.
 * <p>
 * Not thread safe: belongs to the event loop.
 */
final class StreamOriginService {

	private static final Logger logger = LogManager.getLogger(StreamOriginService.class);

	private static final long LOOKUP_TICK_MILLIS = 25;

	private final EventLoop loop;

	private final StreamOrigins origins;

	private final UnconfirmedOrigins unconfirmed = new UnconfirmedOrigins();

	private final Map<StreamKey, List<Consumer<StreamOrigins.Found>>> waiting = new HashMap<>();

	private Consumer<StreamOrigins.Outgoing> sender = (message) -> {
	};

	private boolean ticking;

	/**
	 * Create a service.
	 * @param loop the event loop
	 * @param self the address at which the other VMs reach this one
	 */
	StreamOriginService(EventLoop loop, String self) {
		this.loop = loop;
		this.origins = new StreamOrigins(self);
	}

	/**
	 * Set what sends messages to other VMs.
	 * @param next receives each message with its receivers
	 */
	void sender(Consumer<StreamOrigins.Outgoing> next) {
		this.sender = next;
	}

	/**
	 * Set the entry VMs that keep origins.
	 * @param vms the addresses of the live VMs
	 */
	void peers(List<String> vms) {
		this.origins.peers(vms);
	}

	/**
	 * Set the control VMs that keep origins.
	 * @param vms their addresses
	 */
	void controls(List<String> vms) {
		this.origins.controls(vms);
	}

	/**
	 * Record that the first event of a stream is forwarded.
	 * @param key the name of the stream
	 * @param origin where it began
	 * @param instance the endpoint that wrote the event
	 */
	void began(StreamKey key, StreamOrigin origin, String instance) {
		long now = System.nanoTime();
		this.unconfirmed.add(key, origin, instance, now);
		send(this.origins.began(key, origin, now));
	}

	/**
	 * Retract the versions of streams that began a short while ago at endpoints which are
	 * listed with other versions now.
	 * @param listed returns an endpoint as it is listed
	 */
	void listChanged(Function<String, Optional<FleetEndpoint>> listed) {
		long now = System.nanoTime();
		this.unconfirmed.removeContradicted(listed, now).forEach((key) -> {
			logger.warn("version of stream {} is not known: the list of endpoints has changed", key.request());
			send(this.origins.retract(key, now));
		});
	}

	/**
	 * Record that a stream is no longer served here.
	 * @param key the name of the stream
	 */
	void ended(StreamKey key) {
		this.origins.ended(key);
	}

	/**
	 * Return the origin of a stream if this VM knows it.
	 * @param key the name of the stream
	 * @return the origin
	 */
	Optional<StreamOrigin> known(StreamKey key) {
		return this.origins.known(key, System.nanoTime());
	}

	/**
	 * Ask the other VMs for the origin of a stream.
	 * @param key the name of the stream
	 * @param onResult receives the result
	 */
	void ask(StreamKey key, Consumer<StreamOrigins.Found> onResult) {
		this.waiting.computeIfAbsent(key, (name) -> new ArrayList<>()).add(onResult);
		send(this.origins.ask(key, System.nanoTime()));
		callBack();
		scheduleTick();
	}

	// Whether any request waits for an origin.
	boolean isAsking() {
		return this.origins.isAsking();
	}

	/**
	 * Process a message of another VM.
	 * @param vm its address
	 * @param message the message
	 */
	void receive(String vm, OriginMessage message) {
		send(this.origins.receive(vm, message, System.nanoTime()));
		callBack();
	}

	/**
	 * Tell the origins of the streams that are served here again; called once a second.
	 */
	void sweep() {
		tick();
	}

	private void scheduleTick() {
		if (!this.ticking && this.origins.isAsking()) {
			this.ticking = true;
			this.loop.schedule(() -> {
				this.ticking = false;
				tick();
				scheduleTick();
			}, LOOKUP_TICK_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	private void tick() {
		send(this.origins.tick(System.nanoTime()));
		callBack();
	}

	private void send(List<StreamOrigins.Outgoing> messages) {
		messages.forEach(this.sender);
	}

	private void callBack() {
		this.origins.drainFound().forEach((found) -> {
			List<Consumer<StreamOrigins.Found>> all = this.waiting.remove(found.key());
			if (all != null) {
				all.forEach((onResult) -> onResult.accept(found));
			}
		});
	}

}
