package org.acaciacourse.core.balance;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

import net.openhft.hashing.LongHashFunction;
import org.acaciacourse.core.speed.SpeedTable;

/**
 * The load that the other entry VMs cause at the endpoints, from the digests that they
 * exchange several times a second. Endpoints report their load late and only with
 * responses. Without the digests each VM sees only a part of the load, and all VMs may
 * send long prompts to the same endpoint at the same moment.
 * <p>
 * With many VMs a relay sends a view of the load of all of them. While there is a view,
 * the digests are ignored.
 * <p>
 * The state is soft: the next digest makes up for a lost one, and the load of a VM
 * expires once it is silent. Invariant: the sums are those of the latest unexpired
 * digests of all VMs.
 * <p>
 * Not thread safe: belongs to one event loop.
 */
public final class PeerLoads {

	/** VMs with any load send at least two digests in this time. */
	static final long EXPIRY_NANOS = 1_200_000_000L;

	/** The average interval covers some ten digests. */
	private static final double INTERVAL_WEIGHT = 0.1;

	/**
	 * The load in a view travels from a VM to its relay, to another relay and from there.
	 */
	private static final int VIEW_HOPS = 3;

	private static final LongHashFunction HASH = LongHashFunction.xx3();

	private final Map<String, Digest> digests = new HashMap<>();

	private final LoadSums sums = new LoadSums();

	private final SpeedTable speeds = new SpeedTable();

	/** The parts of the latest view, which replaces the digests while there is one. */
	private final Map<Integer, Digest> view = new HashMap<>();

	private final LoadSums viewSums = new LoadSums();

	private String viewRelay = "";

	private double intervalNanos;

	private double viewIntervalNanos;

	/**
	 * Return the id of an endpoint or a VM in digests. Two endpoints with the same id
	 * would share their load, which only makes both look busier.
	 * @param instance the instance or address
	 * @return a hash of it
	 */
	public static int idOf(String instance) {
		return (int) HASH.hashBytes(instance.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Process a digest with the load of one VM.
	 * @param peer the VM that sent it
	 * @param sequence its sequence number; a restarted VM starts with a higher one
	 * @param loads the load of the VM
	 * @param now the time
	 */
	public void receive(String peer, long sequence, List<Load> loads, long now) {
		receive(peer, LoadDigest.of(LoadDigest.Kind.SUMMARY, sequence, 1, loads, List.of()), now);
	}

	/**
	 * Process a digest with the load of one or several VMs.
	 * @param peer the VM that sent it
	 * @param digest the digest; a restarted VM starts with a higher sequence number
	 * @param now the time
	 * @return whether it is newer than the previous one
	 */
	boolean receive(String peer, LoadDigest digest, long now) {
		String key = peer + "#" + digest.part();
		Digest before = this.digests.get(key);
		if (before != null && digest.sequence() <= before.sequence()) {
			// Datagrams may arrive out of order.
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
	 * Process a view of the load of all VMs.
	 * @param relay the VM that sent it
	 * @param digest the view
	 * @param own the load of this VM that is included
	 * @param now the time
	 * @return whether it is newer than the previous one
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

	/** Drop the view, when this VM becomes a relay and makes one itself. */
	void dropView() {
		this.view.values().forEach((part) -> this.viewSums.remove(part.loads()));
		this.view.clear();
		this.viewRelay = "";
		this.speeds.dropView();
	}

	/**
	 * Drop the loads of VMs that are silent.
	 * @param now the time
	 */
	public void expireSilent(long now) {
		expireSilent(this.digests.values(), this.sums, now);
		expireSilent(this.view.values(), this.viewSums, now);
	}

	private static void expireSilent(Collection<Digest> digests, LoadSums sums, long now) {
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
	 * Return whether the load of any other VM is known.
	 * @return whether there is a digest or a view
	 */
	public boolean hasReports() {
		return !this.digests.isEmpty() || !this.view.isEmpty();
	}

	/**
	 * Return the speeds of endpoints that VMs tell each other with their loads.
	 * @return the speeds
	 */
	public SpeedTable speeds() {
		return this.speeds;
	}

	private boolean hasView() {
		return !this.view.isEmpty();
	}

	// The number of other VMs whose load is known.
	int peerCount() {
		return (hasView()) ? countVms(this.view.values()) - 1 : countVms(this.digests.values());
	}

	private static int countVms(Collection<Digest> digests) {
		return digests.stream().mapToInt(Digest::vms).sum();
	}

	// Twice the typical age of the data: the interval between two digests of a VM, or its
	// equivalent for data that arrives through relays.
	double intervalNanos() {
		return (hasView()) ? VIEW_HOPS * this.viewIntervalNanos : this.intervalNanos;
	}

	/**
	 * Return the load of the other VMs.
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
	 * The load of a VM at an endpoint.
	 *
	 * @param endpoint the id of the endpoint
	 * @param inFlight the number of its requests there
	 * @param waitingWork the prefill work of those whose prompt is not prefilled yet
	 * @param brief the number of its brief requests there
	 */
	public record Load(int endpoint, int inFlight, long waitingWork, int brief) {
		// Written by hand: the generated methods are linked at their first use, which
		// takes some tens of milliseconds and delays the first callers after a start.
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
