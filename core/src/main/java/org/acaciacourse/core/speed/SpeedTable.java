package org.acaciacourse.core.speed;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/**
 * The speeds of the endpoints of all pools: what this VM observed and what the other
 * entry VMs state in their digests. Each VM sees a small part of the requests, and only
 * all of them together tell a slow endpoint from a few slow requests.
 * <p>
 * The state is soft: a VM that starts knows nothing and takes all endpoints as equally
 * fast until the first digests arrive. Invariant: what comes twice or late counts once.
 * <p>
 * Not thread safe: belongs to one event loop.
 */
public final class SpeedTable {

	/** Together with the loads and the rest these fit into a datagram. */
	public static final int MAX_STATEMENTS = 60;

	/** Bounds what datagrams may have this VM keep. */
	private static final int MAX_ENDPOINTS = 4_096;

	private static final long SWEEP_INTERVAL_NANOS = 5_000_000_000L;

	private final Map<Integer, ToldSpeeds> endpoints = new HashMap<>();

	private final PendingNews groupNews = new PendingNews();

	private final PendingNews allNews = new PendingNews();

	private long sweptAt = Long.MIN_VALUE / 2;

	private Optional<ToldSpeeds> endpoint(int id) {
		if (this.endpoints.size() >= MAX_ENDPOINTS) {
			return Optional.ofNullable(this.endpoints.get(id));
		}
		return Optional.of(this.endpoints.computeIfAbsent(id, (unknown) -> new ToldSpeeds()));
	}

	/**
	 * Record an observation of this VM.
	 * @param id the endpoint
	 * @param logSpeed the logarithm of its speed relative to the median of its pool
	 * @param now the time
	 */
	void observe(int id, double logSpeed, long now) {
		endpoint(id).ifPresent((known) -> {
			known.observe(SpeedStatement.bounded(logSpeed), now);
			this.groupNews.add(id);
			this.allNews.add(id);
		});
	}

	/**
	 * Process the statements of another VM.
	 * @param sender the VM
	 * @param sequence the sequence number of its digest
	 * @param report whether it reports to this VM, which passes its statements on
	 * @param statements the statements
	 * @param now the time
	 */
	public void receive(String sender, long sequence, boolean report, List<SpeedStatement> statements, long now) {
		statements.forEach((statement) -> endpoint(statement.endpoint()).ifPresent((known) -> {
			if (known.told(sender, sequence, report, statement, now)) {
				this.allNews.add(statement.endpoint());
				if (report) {
					this.groupNews.add(statement.endpoint());
				}
			}
		}));
	}

	/**
	 * Process the statements of this VM's relay about what all VMs observed.
	 * @param sequence the sequence number of the digest
	 * @param statements the statements
	 * @param now the time
	 */
	public void receiveView(long sequence, List<SpeedStatement> statements, long now) {
		statements.forEach((statement) -> endpoint(statement.endpoint())
			.ifPresent((known) -> known.viewed(sequence, statement, now)));
	}

	/** Drop the views of a relay, when this VM becomes one itself. */
	public void dropView() {
		this.endpoints.values().forEach(ToldSpeeds::dropView);
	}

	/**
	 * Return what this VM observed since the last digests.
	 * @param now the time
	 * @return the statements for the next digest
	 */
	public List<SpeedStatement> ownNews(long now) {
		return news(this.groupNews, (known) -> known.observed(now), now);
	}

	/**
	 * Return what this VM and those that report to it observed since the last digests.
	 * @param now the time
	 * @return the statements for the next digest
	 */
	public List<SpeedStatement> groupNews(long now) {
		return news(this.groupNews, (known) -> known.ofGroup(now), now);
	}

	/**
	 * Return what all VMs observed since the last digests.
	 * @param now the time
	 * @return the statements for the next view
	 */
	public List<SpeedStatement> allNews(long now) {
		return news(this.allNews, (known) -> known.ofAll(now), now);
	}

	private List<SpeedStatement> news(PendingNews pending, Function<ToldSpeeds, SpeedEstimate> kind, long now) {
		sweep(now);
		return pending.take(MAX_STATEMENTS)
			.stream()
			.filter(this.endpoints::containsKey)
			.flatMap((id) -> Optional.of(kind.apply(this.endpoints.get(id)))
				.filter(SpeedEstimate::isWorthTelling)
				.map((estimate) -> SpeedStatement.of(id, estimate.logSpeed(), estimate.weight()))
				.stream())
			.toList();
	}

	private void sweep(long now) {
		if (now - this.sweptAt > SWEEP_INTERVAL_NANOS) {
			this.sweptAt = now;
			this.endpoints.values().removeIf((known) -> known.expire(now));
		}
	}

	/**
	 * Set an endpoint's speed as all VMs observed it; called for each endpoint.
	 * @param endpoint the endpoint
	 * @param now the time
	 */
	void readInto(EndpointSpeed endpoint, long now) {
		ToldSpeeds known = this.endpoints.get(endpoint.id());
		if (known != null) {
			known.readInto(endpoint, now);
		}
		else {
			endpoint.observed(0, 0);
		}
	}

	/**
	 * Return the speed of an endpoint as all VMs observed it.
	 * @param id the endpoint
	 * @param now the time
	 * @return the estimate, without weight if nothing was observed
	 */
	SpeedEstimate estimate(int id, long now) {
		ToldSpeeds known = this.endpoints.get(id);
		return (known != null) ? known.ofAll(now) : new SpeedEstimate(0, 0);
	}

	/**
	 * Drop all that is known of an endpoint, after a new start of it.
	 * @param id the endpoint
	 */
	void forget(int id) {
		this.endpoints.remove(id);
		this.groupNews.remove(id);
		this.allNews.remove(id);
	}

}
