package org.acaciacourse.core.stream;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Keeps the origins of streams at several entry VMs, so that a caller can take its stream
 * up at any of them when the VM that served it is gone. The VM that serves a stream tells
 * its origin with the first event to the first VMs in the order of rendezvous hashing
 * (Thaler and Ravishankar, 1998), and again once a second while it serves the stream, as
 * messages may be lost and VMs start anew. A VM at which a stream is taken up and that
 * does not know it asks the same VMs, and a few more in case its list of VMs differs.
 * <p>
 * Two control VMs are told and asked in the same way, so that origins outlive all entry
 * VMs. A control VM only receives messages.
 * <p>
 * All state is soft. An origin that nobody knows any longer is not guessed here.
 * <p>
 * Not thread safe: belongs to one event loop.
 */
public final class StreamOrigins {

	/** How many other entry VMs keep an origin. */
	private static final int HOLDERS = 4;

	/** How many other entry VMs are asked for one. */
	private static final int MAX_ASKED = 8;

	/** How many control VMs keep an origin: one may be down. */
	private static final int CONTROL_HOLDERS = 2;

	/** How many control VMs are asked for one. */
	private static final int MAX_CONTROLS_ASKED = 4;

	/** Keeps messages within the size of a packet. */
	private static final int MAX_STREAMS_PER_MESSAGE = 10;

	/** Somewhat less than a second, at which interval the origins are looked through. */
	private static final long REPEAT_NANOS = 900_000_000L;

	/** A VM that has not answered by then may not have received the question. */
	private static final long ASK_AGAIN_NANOS = 50_000_000L;

	/** The longest time that the caller of a stream waits for its origin. */
	private static final long MAX_LOOKUP_NANOS = 250_000_000L;

	private final String self;

	private final OriginTable table = new OriginTable();

	/**
	 * The streams that this VM serves now, with the time at which they were last told.
	 */
	private final Map<StreamKey, Served> served = new LinkedHashMap<>();

	private final Map<StreamKey, Lookup> lookups = new LinkedHashMap<>();

	private final List<Found> found = new ArrayList<>();

	private List<String> peers = List.of();

	private List<String> controls = List.of();

	/**
	 * Create the origins.
	 * @param self the address of this VM
	 */
	public StreamOrigins(String self) {
		this.self = self;
	}

	/**
	 * Set the entry VMs that keep origins.
	 * @param vms the addresses of the live VMs, with or without this one
	 */
	public void peers(List<String> vms) {
		this.peers = vms.stream().filter((vm) -> !vm.equals(this.self)).toList();
	}

	/**
	 * Set the control VMs that keep origins.
	 * @param vms their addresses
	 */
	public void controls(List<String> vms) {
		this.controls = List.copyOf(vms);
	}

	/**
	 * Return how many origins this VM knows.
	 * @return the number of streams
	 */
	public int size() {
		return this.table.size();
	}

	/**
	 * Record that this VM is about to forward the first event of a stream.
	 * @param key the name of the stream
	 * @param origin where it began
	 * @param now the time
	 * @return the messages to send
	 */
	public List<Outgoing> began(StreamKey key, StreamOrigin origin, long now) {
		this.table.record(key, origin, now);
		this.served.put(key, new Served(origin, now));
		return tell(key, origin);
	}

	private List<Outgoing> tell(StreamKey key, StreamOrigin origin) {
		return send(
				new OriginMessage(OriginMessage.Kind.TELL, List.of(new OriginMessage.Stream(key, Optional.of(origin)))),
				holders(key));
	}

	/**
	 * Record that the version that this VM has told for a stream may be wrong.
	 * @param key the name of the stream
	 * @param now the time
	 * @return the messages to send
	 */
	public List<Outgoing> retract(StreamKey key, long now) {
		Optional<StreamOrigin> told = this.table.find(key, now);
		if (told.isEmpty()) {
			return List.of();
		}
		StreamOrigin unknown = new StreamOrigin(told.get().pool(), Optional.empty());
		this.table.record(key, unknown, now);
		this.served.computeIfPresent(key, (name, stream) -> new Served(unknown, now));
		return tell(key, unknown);
	}

	/**
	 * Record that this VM no longer serves a stream.
	 * @param key the name of the stream
	 */
	public void ended(StreamKey key) {
		this.served.remove(key);
	}

	/**
	 * Return the origin of a stream if this VM knows it.
	 * @param key the name of the stream
	 * @param now the time
	 * @return the origin
	 */
	public Optional<StreamOrigin> known(StreamKey key, long now) {
		return this.table.find(key, now);
	}

	/**
	 * Ask the other VMs for the origin of a stream; the result follows with
	 * {@link #drainFound}.
	 * @param key the name of the stream
	 * @param now the time
	 * @return the messages to send
	 */
	public List<Outgoing> ask(StreamKey key, long now) {
		if (this.lookups.containsKey(key)) {
			return List.of();
		}
		Lookup lookup = new Lookup(now, new LinkedHashSet<>(asked(key)));
		this.lookups.put(key, lookup);
		endIfComplete(key, lookup);
		return question(key, lookup);
	}

	private static List<Outgoing> question(StreamKey key, Lookup lookup) {
		return send(new OriginMessage(OriginMessage.Kind.ASK, List.of(new OriginMessage.Stream(key, Optional.empty()))),
				List.copyOf(lookup.unanswered));
	}

	/**
	 * Process a message of another VM.
	 * @param sender its address
	 * @param message the message
	 * @param now the time
	 * @return the messages to send
	 */
	public List<Outgoing> receive(String sender, OriginMessage message, long now) {
		switch (message.kind()) {
			case TELL -> message.streams().forEach((stream) -> record(stream, now));
			case ANSWER -> message.streams().forEach((stream) -> answered(sender, stream, now));
			case ASK -> {
				List<OriginMessage.Stream> answers = message.streams()
					.stream()
					.map((stream) -> new OriginMessage.Stream(stream.key(), this.table.find(stream.key(), now)))
					.toList();
				return send(new OriginMessage(OriginMessage.Kind.ANSWER, answers), List.of(sender));
			}
		}
		return List.of();
	}

	private void record(OriginMessage.Stream stream, long now) {
		stream.origin().ifPresent((origin) -> this.table.record(stream.key(), origin, now));
	}

	private void answered(String sender, OriginMessage.Stream stream, long now) {
		Lookup lookup = this.lookups.get(stream.key());
		if (lookup == null) {
			return;
		}
		record(stream, now);
		lookup.unanswered.remove(sender);
		if (stream.origin().isPresent()) {
			end(stream.key(), lookup, this.table.find(stream.key(), now));
		}
		else {
			endIfComplete(stream.key(), lookup);
		}
	}

	private void endIfComplete(StreamKey key, Lookup lookup) {
		if (lookup.unanswered.isEmpty()) {
			end(key, lookup, Optional.empty());
		}
	}

	private void end(StreamKey key, Lookup lookup, Optional<StreamOrigin> origin) {
		this.lookups.remove(key);
		this.found.add(new Found(key, origin, lookup.asked, lookup.asked - lookup.unanswered.size()));
	}

	/**
	 * Repeat what may have been lost, and end the lookups that have taken too long;
	 * called every few milliseconds while {@link #isAsking}, and otherwise about once a
	 * second.
	 * @param now the time
	 * @return the messages to send
	 */
	public List<Outgoing> tick(long now) {
		List<Outgoing> messages = new ArrayList<>();
		Map.copyOf(this.lookups).forEach((key, lookup) -> {
			if (now - lookup.startedAt >= MAX_LOOKUP_NANOS) {
				end(key, lookup, Optional.empty());
			}
			else if (now - lookup.askedAt >= ASK_AGAIN_NANOS) {
				lookup.askedAt = now;
				messages.addAll(question(key, lookup));
			}
		});
		messages.addAll(repeated(now));
		return messages;
	}

	private List<Outgoing> repeated(long now) {
		Map<String, List<OriginMessage.Stream>> byHolder = new HashMap<>();
		this.served.replaceAll((key, stream) -> {
			if (now - stream.toldAt() < REPEAT_NANOS) {
				return stream;
			}
			this.table.record(key, stream.origin(), now);
			holders(key).forEach((holder) -> byHolder.computeIfAbsent(holder, (vm) -> new ArrayList<>())
				.add(new OriginMessage.Stream(key, Optional.of(stream.origin()))));
			return new Served(stream.origin(), now);
		});
		List<Outgoing> messages = new ArrayList<>();
		byHolder.forEach((holder, streams) -> {
			for (int from = 0; from < streams.size(); from += MAX_STREAMS_PER_MESSAGE) {
				List<OriginMessage.Stream> part = streams.subList(from,
						Math.min(streams.size(), from + MAX_STREAMS_PER_MESSAGE));
				messages.addAll(send(new OriginMessage(OriginMessage.Kind.TELL, part), List.of(holder)));
			}
		});
		return messages;
	}

	private List<String> holders(StreamKey key) {
		return Stream.concat(ranked(this.peers, key, HOLDERS), ranked(this.controls, key, CONTROL_HOLDERS)).toList();
	}

	private List<String> asked(StreamKey key) {
		return Stream.concat(ranked(this.peers, key, MAX_ASKED), ranked(this.controls, key, MAX_CONTROLS_ASKED))
			.toList();
	}

	private static Stream<String> ranked(List<String> vms, StreamKey key, int count) {
		return vms.stream()
			.collect(Collectors.toMap((vm) -> vm, key::hashWith, (first, second) -> first))
			.entrySet()
			.stream()
			.sorted(Map.Entry.<String, Long>comparingByValue().thenComparing(Comparator.comparing(Map.Entry::getKey)))
			.limit(count)
			.map(Map.Entry::getKey);
	}

	private static List<Outgoing> send(OriginMessage message, List<String> receivers) {
		return (receivers.isEmpty()) ? List.of() : List.of(new Outgoing(message, receivers));
	}

	/**
	 * Return whether any lookup is in progress.
	 * @return whether other VMs were asked and the result is not known yet
	 */
	public boolean isAsking() {
		return !this.lookups.isEmpty();
	}

	/**
	 * Remove and return the results of the lookups that have ended.
	 * @return the results
	 */
	public List<Found> drainFound() {
		List<Found> all = List.copyOf(this.found);
		this.found.clear();
		return all;
	}

	/**
	 * A message to send.
	 *
	 * @param message the message
	 * @param receivers the addresses that it is sent to
	 */
	public record Outgoing(OriginMessage message, List<String> receivers) {
	}

	/**
	 * The result of a lookup.
	 *
	 * @param key the name of the stream
	 * @param origin where it began, if any VM that answered knows
	 * @param asked how many VMs were asked
	 * @param answered how many of them answered
	 */
	public record Found(StreamKey key, Optional<StreamOrigin> origin, int asked, int answered) {

		/**
		 * Return whether all VMs that keep origins have answered. If none knows the
		 * origin although one has not answered, or nobody was asked, the stream may have
		 * begun anywhere.
		 * @return whether there is any VM to ask and each one has answered
		 */
		public boolean isComplete() {
			return this.asked > 0 && this.answered == this.asked;
		}

	}

	private record Served(StreamOrigin origin, long toldAt) {
	}

	/** A lookup in progress. */
	private static final class Lookup {

		private final long startedAt;

		private final int asked;

		private final Set<String> unanswered;

		private long askedAt;

		private Lookup(long now, Set<String> unanswered) {
			this.startedAt = now;
			this.askedAt = now;
			this.asked = unanswered.size();
			this.unanswered = unanswered;
		}

	}

}
