package org.acaciacourse.daemon.route;

import java.util.Optional;

import org.acaciacourse.core.balance.PlacedRequest;
import org.acaciacourse.core.route.FleetEndpoint;
import org.acaciacourse.core.route.Pool;
import org.acaciacourse.core.share.PoolShares;
import org.acaciacourse.core.share.RequestWork;

/**
 * What one routed request takes of its customer's share of a pool, and whether it is over
 * that share. Does nothing where customers have no shares.
 * <p>
 * Not thread safe: belongs to the event loop.
 */
final class RequestShare {

	private final RouteContext context;

	private final RoutedRequest request;

	private final Optional<PoolShares> shares;

	/** The KV cache of an engine of the pool, 0 for plain endpoints. */
	private final long cacheTokens;

	private Optional<RequestWork> work = Optional.empty();

	RequestShare(RouteContext context, RoutedRequest request) {
		this.context = context;
		this.request = request;
		this.shares = context.pools().shares().of(request.pool());
		this.cacheTokens = (this.shares.isEmpty()) ? 0
				: context.pools().declaredPool(request.pool()).map(Pool::engineTokens).orElse(0L);
	}

	/** The request begins to wait for an endpoint, for the first time or once more. */
	void queued() {
		long now = System.nanoTime();
		if (this.work.isPresent()) {
			this.work.get().queued(now);
			return;
		}
		this.work = this.shares.map((pool) -> pool.begin(this.request.customer().orElse(""), now));
		if (isOverShare()) {
			this.context.metrics().overShare(this.request.pool());
		}
	}

	/**
	 * Return whether the request goes behind the others of its rank.
	 * @return whether it is over its customer's share
	 */
	boolean isOverShare() {
		return this.work.isPresent() && this.work.get().isOverShare();
	}

	// Plain endpoints know no ranks.
	boolean needsFreeSlot() {
		return this.cacheTokens == 0 && isOverShare();
	}

	/**
	 * Return whether the request may be placed now.
	 * @return whether it needs no free slot, or this VM's part of them permits one more
	 */
	boolean mayBePlaced() {
		return !needsFreeSlot() || this.shares.orElseThrow().mayTakeFreeSlot(System.nanoTime());
	}

	boolean isOverShareAtEngine() {
		return this.cacheTokens > 0 && isOverShare() && this.request.overShareUrgency().isPresent();
	}

	/**
	 * The request was placed.
	 * @param endpoint the endpoint
	 * @param placed the request there
	 */
	void placed(FleetEndpoint endpoint, PlacedRequest placed) {
		if (this.work.isEmpty()) {
			return;
		}
		long now = System.nanoTime();
		if (this.cacheTokens > 0) {
			this.work.get()
				.placedAtEngine(placed.uncachedTokens(), this.request.metadata().prompt().outputTokens(),
						this.cacheTokens, now);
		}
		else {
			if (isOverShare()) {
				this.shares.orElseThrow().freeSlotTaken();
			}
			this.work.get().placedAtService(placed.estimate(now).running(), endpoint.slots(), now);
		}
	}

	/** An endpoint has begun to answer. */
	void began() {
		this.work.ifPresent((charged) -> charged.began(System.nanoTime()));
	}

	/** An event was forwarded. */
	void eventForwarded() {
		this.work.ifPresent(RequestWork::eventForwarded);
	}

	/**
	 * An attempt ended, or the request while it waited for one.
	 * @param run whether an endpoint may have run it
	 */
	void ended(boolean run) {
		this.work.ifPresent((charged) -> charged.ended(run, System.nanoTime()));
	}

}
