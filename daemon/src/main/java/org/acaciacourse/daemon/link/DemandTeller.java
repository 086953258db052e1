package org.acaciacourse.daemon.link;

import java.util.Map;
import java.util.Optional;

import org.acaciacourse.core.scaling.PoolDemand;
import org.acaciacourse.daemon.codec.DemandCodec;
import org.acaciacourse.protocol.generated.PollRequest;

/**
 * Adds the demand of this entry VM to its polls where it differs from what the connected
 * control VM knows.
 * <p>
 * Not thread safe: belongs to the thread that polls.
 */
final class DemandTeller {

	private final Optional<DemandSource> source;

	/** What the poll in progress tells. */
	private Map<String, PoolDemand> current = Map.of();

	/** What the connected control VM knows, empty if it knows nothing. */
	private Optional<Map<String, PoolDemand>> known = Optional.empty();

	DemandTeller(Optional<DemandSource> source) {
		this.source = source;
	}

	void writeTo(PollRequest poll) {
		this.source.ifPresent((demand) -> {
			this.current = demand.last(System.nanoTime());
			if (!this.known.equals(Optional.of(this.current))) {
				poll.setDemand(DemandCodec.encode(this.current));
			}
		});
	}

	/** The control VM has replied to the poll. */
	void replied() {
		this.known = Optional.of(this.current);
	}

	/** The next poll goes to a control VM that knows nothing. */
	void disconnected() {
		this.known = Optional.empty();
	}

}
