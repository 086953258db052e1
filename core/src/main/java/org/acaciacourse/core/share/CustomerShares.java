package org.acaciacourse.core.share;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The recent work of all customers in all pools: what this VM has charged, and what the
 * other entry VMs tell. All state is soft: without the digests of others, a VM knows only
 * its own part.
 * <p>
 * Not thread safe: belongs to the event loop.
 */
public final class CustomerShares {

	/** Reports that may be in transit or included in the sums of a relay. */
	private static final int MAX_KEPT_REPORTS = 32;

	/**
	 * The works that a relay tells: the 24 customers of a deployment with three pools.
	 */
	private static final int MAX_IN_SUM = 3 * CustomerWorks.MAX_IN_PART;

	private final RecentWork own = new RecentWork();

	private final PeerWork peers = new PeerWork();

	private final Map<Long, Report> reports = new LinkedHashMap<>() {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, Report> eldest) {
			return size() > MAX_KEPT_REPORTS;
		}

	};

	// Adds work of a customer, or takes it back.
	void add(int key, double work, long now) {
		this.own.add(key, work, now);
	}

	/**
	 * Return the work that this VM has charged.
	 * @param now the time
	 * @return the largest works, and the sum of the rest
	 */
	public CustomerWorks own(long now) {
		ToldWork sum = new ToldWork();
		this.own.forEach(now, sum::add);
		return sum.largest(CustomerWorks.MAX_IN_PART);
	}

	/**
	 * Return the work that this VM has charged, and keep it to find it in a view later.
	 * @param sequence the sequence number of the digest that tells it
	 * @param now the time
	 * @return the largest works, and the sum of the rest
	 */
	public CustomerWorks report(long sequence, long now) {
		CustomerWorks works = own(now);
		this.reports.put(sequence, new Report(works, now));
		return works;
	}

	/**
	 * Return the work of this VM and of those that report to it.
	 * @param reporters their addresses
	 * @param now the time
	 * @return the largest works, and the sum of the rest
	 */
	public CustomerWorks group(Set<String> reporters, long now) {
		ToldWork sum = new ToldWork();
		this.own.forEach(now, sum::add);
		this.peers.addDigests(sum, reporters::contains, now);
		return sum.largest(MAX_IN_SUM);
	}

	/**
	 * Return the work of all VMs as far as it is known.
	 * @param now the time
	 * @return the largest works, and the sum of the rest
	 */
	public CustomerWorks all(long now) {
		return sum(now).largest(MAX_IN_SUM);
	}

	/** Drop the view, when this VM becomes a relay and makes one itself. */
	public void dropView() {
		this.peers.dropView();
	}

	/**
	 * Take over what another VM tells of itself and of those that report to it.
	 * @param sender its address
	 * @param part the index of the part of its digest
	 * @param parts the number of parts
	 * @param works the works in the part
	 * @param now the time
	 */
	public void receive(String sender, int part, int parts, CustomerWorks works, long now) {
		this.peers.receive(sender, part, parts, works, now);
	}

	/**
	 * Take over a view of the work of all VMs.
	 * @param sender the address of the VM that made it
	 * @param part the index of the part of the view
	 * @param parts the number of parts
	 * @param works the works in the part
	 * @param acknowledged the sequence number of this VM's report that is included,
	 * negative if there is none
	 * @param now the time
	 */
	public void receiveView(String sender, int part, int parts, CustomerWorks works, long acknowledged, long now) {
		Report report = this.reports.getOrDefault(acknowledged, Report.NONE);
		this.peers.receiveView(sender, part, parts, works, report.works(), report.at(), now);
	}

	// Whether anything is known of other VMs.
	boolean knowsOthers(long now) {
		this.peers.expire(now);
		return this.peers.isAnyKnown();
	}

	// The work of all VMs.
	ToldWork sum(long now) {
		this.peers.expire(now);
		ToldWork sum = new ToldWork();
		this.peers.addAll(sum, now);
		this.own.forEach(now, sum::add);
		return sum;
	}

	private record Report(CustomerWorks works, long at) {

		private static final Report NONE = new Report(CustomerWorks.NONE, 0);

	}

}
