package org.acaciacourse.core.balance;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

import net.openhft.hashing.LongHashFunction;

/**
 * What the other entry VMs have under way at the endpoints, from the digests that they
 * send each other several times a second. What an endpoint tells of its load is late and
 * comes only with answers; without this each VM sees a part of the load only, and all of
 * them may send long prompts to one endpoint at the same moment.
 * <p>
 * The state is soft: a digest that is lost is replaced by the next one, and what a VM
 * told counts no more once it is silent. Invariant: the sums are those of the latest
 * digests of all VMs that are kept.
 * <p>
 * Not thread safe: belongs to one event loop.
 */
public final class PeerLoads {

	/** VMs send at least twice in this time while they have anything under way. */
	private static final long SILENT_NANOS = 1_200_000_000L;

	/** Some ten digests make the estimate of their pause. */
	private static final double PAUSE_WEIGHT = 0.1;

	private static final LongHashFunction HASH = LongHashFunction.xx3();

	private final Map<String, Digest> digests = new HashMap<>();

	private final Map<Integer, Sum> sums = new HashMap<>();

	private double pauseNanos;

	/**
	 * Return the short name of an endpoint in digests. Two endpoints of one name would
	 * share their load, which only makes both look busier.
	 * @param instance the instance
	 * @return a hash of it
	 */
	public static int nameOf(String instance) {
		return (int) HASH.hashBytes(instance.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Take a digest.
	 * @param peer the VM that sent it
	 * @param sequence its number; a VM that started again begins with a higher one
	 * @param loads what the VM has under way
	 * @param now the time
	 */
	public void take(String peer, long sequence, List<Load> loads, long now) {
		Digest before = this.digests.get(peer);
		if (before != null && sequence <= before.sequence()) {
			// Datagrams overtake each other.
			return;
		}
		if (before != null) {
			add(before.loads(), -1);
			this.pauseNanos += PAUSE_WEIGHT * (now - before.at() - this.pauseNanos);
		}
		this.digests.put(peer, new Digest(sequence, List.copyOf(loads), now));
		add(loads, 1);
	}

	private void add(List<Load> loads, int sign) {
		for (Load load : loads) {
			Sum sum = this.sums.computeIfAbsent(load.endpoint(), (name) -> new Sum());
			sum.inFlight += sign * load.inFlight();
			sum.waitingWork += sign * load.waitingWork();
			sum.brief += sign * load.brief();
		}
	}

	/**
	 * Forget the VMs that are silent.
	 * @param now the time
	 */
	public void forgetSilent(long now) {
		Iterator<Digest> all = this.digests.values().iterator();
		while (all.hasNext()) {
			Digest digest = all.next();
			if (now - digest.at() > SILENT_NANOS) {
				all.remove();
				add(digest.loads(), -1);
			}
		}
		this.sums.values().removeIf((sum) -> sum.inFlight == 0 && sum.waitingWork == 0);
	}

	/**
	 * Return whether any other VM tells its load.
	 * @return whether the sums stand for more than nothing
	 */
	public boolean isTold() {
		return !this.digests.isEmpty();
	}

	// The VMs that tell their load.
	int count() {
		return this.digests.size();
	}

	// The pause between two digests of a VM, of late.
	double pauseNanos() {
		return this.pauseNanos;
	}

	int inFlight(int endpoint) {
		Sum sum = this.sums.get(endpoint);
		return (sum != null) ? sum.inFlight : 0;
	}

	long waitingWork(int endpoint) {
		Sum sum = this.sums.get(endpoint);
		return (sum != null) ? sum.waitingWork : 0;
	}

	int brief(int endpoint) {
		Sum sum = this.sums.get(endpoint);
		return (sum != null) ? sum.brief : 0;
	}

	/**
	 * What a VM has under way at an endpoint.
	 *
	 * @param endpoint the short name of the endpoint
	 * @param inFlight its requests there
	 * @param waitingWork the work of those whose prompt is not read yet
	 * @param brief those of its requests whose target is among the shortest
	 */
	public record Load(int endpoint, int inFlight, long waitingWork, int brief) {
		// By hand, as the generated methods are put together at their first use: some
		// tens of milliseconds, which callers wait for after a start.
		@Override
		public boolean equals(Object other) {
			return this == other
					|| (other instanceof Load that && this.endpoint == that.endpoint && this.inFlight == that.inFlight
							&& this.waitingWork == that.waitingWork && this.brief == that.brief);
		}

		@Override
		public int hashCode() {
			int hash = this.endpoint;
			hash = 31 * hash + this.inFlight;
			hash = 31 * hash + Long.hashCode(this.waitingWork);
			hash = 31 * hash + this.brief;
			return hash;
		}

	}

	private record Digest(long sequence, List<Load> loads, long at) {
	}

	/** The sum over all VMs. */
	private static final class Sum {

		private int inFlight;

		private long waitingWork;

		private int brief;

	}

}
