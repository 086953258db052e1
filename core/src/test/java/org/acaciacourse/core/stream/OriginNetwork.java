package org.acaciacourse.core.stream;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

/**
 * Entry VMs that exchange the origins of streams in virtual time, with control VMs that
 * keep them, over a network that loses and delays datagrams.
 * <p>
 * Not thread safe: belongs to one test.
 */
final class OriginNetwork {

	static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

	private static final long TICK_NANOS = 25 * MILLI;

	private static final long MIN_DELAY_NANOS = MILLI / 5;

	private static final long MAX_EXTRA_DELAY_NANOS = 2 * MILLI;

	private final Random random;

	private final double lossRate;

	private final Map<String, StreamOrigins> running = new TreeMap<>();

	private final List<String> addresses;

	private final List<String> controls;

	private final PriorityQueue<Datagram> inFlight = new PriorityQueue<>(Comparator.comparingLong(Datagram::arrivesAt));

	private final Map<StreamKey, StreamOrigins.Found> found = new HashMap<>();

	/** Until when VMs stand still. */
	private final Map<String, Long> frozenUntil = new HashMap<>();

	private long now = TimeUnit.SECONDS.toNanos(100);

	private long lostUntil;

	private int sent;

	OriginNetwork(int size, double lossRate, long seed) {
		this(size, 0, lossRate, seed);
	}

	OriginNetwork(int size, int controls, double lossRate, long seed) {
		this.random = new Random(seed);
		this.lossRate = lossRate;
		this.controls = IntStream.range(0, controls).mapToObj((i) -> "10.0.1." + i + ":7340").toList();
		this.controls.forEach((vm) -> this.running.put(vm, new StreamOrigins(vm)));
		this.addresses = IntStream.range(0, size).mapToObj((i) -> "10.0.0." + i + ":7340").toList();
		this.addresses.forEach(this::start);
	}

	/** Start a VM, which knows no streams. */
	void start(String vm) {
		StreamOrigins origins = new StreamOrigins(vm);
		origins.controls(this.controls);
		this.running.put(vm, origins);
		tellPeers(this.addresses);
	}

	/** Have all entry VMs believe that these are live. */
	void tellPeers(List<String> vms) {
		this.running.forEach((vm, origins) -> {
			if (!this.controls.contains(vm)) {
				origins.peers(vms);
			}
		});
	}

	/** End a control VM, which the entry VMs go on to ask. */
	void endControl(int index) {
		end(this.controls.get(index));
	}

	/** End a VM; the others still believe that it is live. */
	void end(String vm) {
		this.running.remove(vm);
	}

	List<String> vms() {
		return List.copyOf(this.running.keySet());
	}

	List<String> addresses() {
		return this.addresses;
	}

	int sent() {
		return this.sent;
	}

	long now() {
		return this.now;
	}

	/**
	 * Have a VM stand still: what it is sent meanwhile waits, and its timers go first.
	 */
	void freeze(String vm, long nanos) {
		this.frozenUntil.put(vm, this.now + nanos);
	}

	private boolean isFrozen(String vm) {
		return this.frozenUntil.getOrDefault(vm, 0L) > this.now;
	}

	/** Lose all datagrams that are sent within a time from now on. */
	void loseAllFor(long nanos) {
		this.lostUntil = this.now + nanos;
	}

	/** Start a control VM again, which then knows no streams. */
	void restartControl(int index) {
		this.running.put(this.controls.get(index), new StreamOrigins(this.controls.get(index)));
	}

	/** A VM finds that the version of a stream that it has told is not known. */
	void retract(String vm, StreamKey key) {
		send(vm, this.running.get(vm).retract(key, this.now));
	}

	/** A VM begins to serve a stream. */
	void begin(String vm, StreamKey key, StreamOrigin origin) {
		send(vm, this.running.get(vm).began(key, origin, this.now));
	}

	/** A VM has served a stream to its end. */
	void ended(String vm, StreamKey key) {
		this.running.get(vm).ended(key);
	}

	/** Find the origin of a stream as a VM does at which it is taken up. */
	Optional<StreamOrigin> find(String vm, StreamKey key) {
		Optional<StreamOrigin> known = this.running.get(vm).known(key, this.now);
		return (known.isPresent()) ? known : lookUp(vm, key).origin();
	}

	/** Have a VM ask the others for the origin of a stream. */
	StreamOrigins.Found lookUp(String vm, StreamKey key) {
		ask(vm, key);
		while (!this.found.containsKey(key)) {
			run(MILLI);
		}
		return this.found.get(key);
	}

	/** Have a VM begin to ask the others for the origin of a stream. */
	void ask(String vm, StreamKey key) {
		StreamOrigins origins = this.running.get(vm);
		this.found.remove(key);
		send(vm, origins.ask(key, this.now));
		drain(origins);
	}

	/** The result of what a VM asked, once there is one. */
	Optional<StreamOrigins.Found> result(StreamKey key) {
		return Optional.ofNullable(this.found.get(key));
	}

	/** Let time pass. */
	void run(long nanos) {
		long end = this.now + nanos;
		while (this.now < end) {
			long next = Math.min(end, (this.now / TICK_NANOS + 1) * TICK_NANOS);
			deliverUntil(next);
			this.now = next;
			if (next % TICK_NANOS == 0) {
				Map.copyOf(this.running).forEach((vm, origins) -> tick(vm, origins));
			}
		}
	}

	private void tick(String vm, StreamOrigins origins) {
		if (!isFrozen(vm)) {
			send(vm, origins.tick(this.now));
			drain(origins);
		}
	}

	private void deliverUntil(long time) {
		while (!this.inFlight.isEmpty() && this.inFlight.peek().arrivesAt() <= time) {
			Datagram datagram = this.inFlight.poll();
			this.now = Math.max(this.now, datagram.arrivesAt());
			if (isFrozen(datagram.receiver())) {
				long thawedAt = this.frozenUntil.get(datagram.receiver());
				long firstTick = (thawedAt + TICK_NANOS - 1) / TICK_NANOS * TICK_NANOS;
				this.inFlight.add(datagram.delayedUntil(firstTick + 1));
				continue;
			}
			Optional.ofNullable(this.running.get(datagram.receiver())).ifPresent((origins) -> {
				send(datagram.receiver(), origins.receive(datagram.sender(), datagram.message(), this.now));
				drain(origins);
			});
		}
	}

	private void drain(StreamOrigins origins) {
		origins.drainFound().forEach((result) -> this.found.put(result.key(), result));
	}

	private void send(String sender, List<StreamOrigins.Outgoing> messages) {
		List<StreamOrigins.Outgoing> all = new ArrayList<>(messages);
		all.forEach((outgoing) -> outgoing.receivers().forEach((receiver) -> {
			this.sent++;
			if (this.now >= this.lostUntil && this.random.nextDouble() >= this.lossRate) {
				long delay = MIN_DELAY_NANOS + (long) (this.random.nextDouble() * MAX_EXTRA_DELAY_NANOS);
				this.inFlight.add(new Datagram(sender, receiver, outgoing.message(), this.now + delay));
			}
		}));
	}

	private record Datagram(String sender, String receiver, OriginMessage message, long arrivesAt) {

		private Datagram delayedUntil(long time) {
			return new Datagram(this.sender, this.receiver, this.message, time);
		}

	}

}
