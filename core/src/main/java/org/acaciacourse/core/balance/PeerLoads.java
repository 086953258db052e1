package org.acaciacourse.core.balance;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
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
 * With many VMs a relay tells what all of them have under way; while there is such a view
 * it counts, and no digest does.
 * <p>
 * The state is soft: a digest that is lost is replaced by the next one, and what a VM
 * told counts no more once it is silent. Invariant: the sums are those of the latest
 * digests of all VMs that are kept.
 * <p>
 * Not thread safe: belongs to one event loop.
 */
public final class PeerLoads {

	/** VMs send at least twice in this time while they have anything under way. */
	static final long EXPIRY_NANOS = 1_200_000_000L;

	/** Some ten digests make the estimate of their pause. */
	private static final double INTERVAL_WEIGHT = 0.1;

	/** What a view tells passed from a VM to its relay, to another one and from there. */
	private static final int VIEW_HOPS = 3;

	private static final LongHashFunction HASH = LongHashFunction.xx3();

	private final Map<String, Digest> digests = new HashMap<>();

	private final LoadSums sums = new LoadSums();

	/** The parts of the latest view; while there is one it counts in place of digests. */
	private final Map<Integer, Digest> view = new HashMap<>();

	private final LoadSums viewSums = new LoadSums();

	private String viewRelay = "";

	private double intervalNanos;

	private double viewIntervalNanos;

	/**
	 * Return the short name of an endpoint in digests. Two endpoints of one name would
	 * share their load, which only makes both look busier.
	 * @param instance the instance
	 * @return a hash of it
	 */
	public static int idOf(String instance) {
		return (int) HASH.hashBytes(instance.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Take a digest of what a VM has under way.
	 * @param peer the VM that sent it
	 * @param sequence its number; a VM that started again begins with a higher one
	 * @param loads what the VM has under way
	 * @param now the time
	 */
	public void receive(String peer, long sequence, List<Load> loads, long now) {
		receive(peer, LoadDigest.of(LoadDigest.Kind.SUMMARY, sequence, 1, loads, List.of()), now);
	}

	/**
	 * Take a digest of what a VM has under way, or of what several have.
	 * @param peer the VM that sent it
	 * @param digest the digest; a VM that started again begins with a higher number
	 * @param now the time
	 * @return whether it is newer than what is known
	 */
	boolean receive(String peer, LoadDigest digest, long now) {
		String key = peer + "#" + digest.part();
		Digest before = this.digests.get(key);
		if (before != null && digest.sequence() <= before.sequence()) {
			// Datagrams overtake each other.
			return false;
		}
		if (before != null) {
			this.sums.remove(before.loads());
			this.intervalNanos += INTERVAL_WEIGHT * (now - before.at() - this.intervalNanos);
		}
		this.digests.put(key, new Digest(digest.sequence(), digest.loads(), vmCount(digest), now));
		this.sums.add(digest.loads());
		for (int part = digest.parts(); this.digests.containsKey(peer + "#" + part); part++) {
			this.sums.remove(this.digests.remove(peer + "#" + part).loads());
		}
		return true;
	}

	private static int vmCount(LoadDigest digest) {
		return (digest.part() == 0) ? digest.vms() : 0;
	}

	/**
	 * Take a view of what all VMs have under way.
	 * @param relay the VM that sent it
	 * @param digest the view
	 * @param own what of this VM is in it
	 * @param now the time
	 * @return whether it is newer than what is known
	 */
	boolean receiveView(String relay, LoadDigest digest, List<Load> own, long now) {
		if (!this.viewRelay.equals(relay)) {
			dropView();
			this.viewRelay = relay;
		}
		Digest before = this.view.get(digest.part());
		if (before != null && digest.sequence() <= before.sequence()) {
			return false;
		}
		if (before != null) {
			this.viewSums.remove(before.loads());
			this.viewIntervalNanos += INTERVAL_WEIGHT * (now - before.at() - this.viewIntervalNanos);
		}
		LoadSums others = new LoadSums();
		others.add(digest.loads());
		others.remove(own.stream().filter((load) -> others.contains(load.endpoint())).toList());
		this.view.put(digest.part(), new Digest(digest.sequence(), others.all(), vmCount(digest), now));
		this.viewSums.add(others.all());
		for (int part = digest.parts(); this.view.containsKey(part); part++) {
			this.viewSums.remove(this.view.remove(part).loads());
		}
		return true;
	}

	/** Forget the view: this VM makes one itself. */
	void dropView() {
		this.view.values().forEach((part) -> this.viewSums.remove(part.loads()));
		this.view.clear();
		this.viewRelay = "";
	}

	/**
	 * Forget the VMs that are silent.
	 * @param now the time
	 */
	public void forgetSilent(long now) {
		forgetSilent(this.digests.values(), this.sums, now);
		forgetSilent(this.view.values(), this.viewSums, now);
	}

	private static void forgetSilent(Collection<Digest> digests, LoadSums sums, long now) {
		Iterator<Digest> all = digests.iterator();
		while (all.hasNext()) {
			Digest digest = all.next();
			if (now - digest.at() > EXPIRY_NANOS) {
				all.remove();
				sums.remove(digest.loads());
			}
		}
	}

	/**
	 * Return whether any other VM tells its load.
	 * @return whether the sums stand for more than nothing
	 */
	public boolean isTold() {
		return !this.digests.isEmpty() || !this.view.isEmpty();
	}

	private boolean hasView() {
		return !this.view.isEmpty();
	}

	// The VMs that tell their load.
	int peerCount() {
		return (hasView()) ? countVms(this.view.values()) - 1 : countVms(this.digests.values());
	}

	private static int countVms(Collection<Digest> digests) {
		return digests.stream().mapToInt(Digest::vms).sum();
	}

	// Twice the usual age of what is known: the pause between two digests of a VM, or its
	// like for what comes by way of relays.
	double intervalNanos() {
		return (hasView()) ? VIEW_HOPS * this.viewIntervalNanos : this.intervalNanos;
	}

	/**
	 * Return what the VMs have under way that tell this one.
	 * @return the sums by endpoint
	 */
	List<Load> all() {
		return current().all();
	}

	private LoadSums current() {
		return (hasView()) ? this.viewSums : this.sums;
	}

	int inFlight(int endpoint) {
		return current().inFlight(endpoint);
	}

	long waitingWork(int endpoint) {
		return current().waitingWork(endpoint);
	}

	int brief(int endpoint) {
		return current().brief(endpoint);
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

	private record Digest(long sequence, List<Load> loads, int vms, long at) {
	}

}
