package org.acaciacourse.daemon.tunnel;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import org.acaciacourse.protocol.generated.TunnelOpenRecord;

/**
 * What an endpoint stated in a response about requests to it.
 * <p>
 * Immutable and thread safe.
 *
 * @param instance the endpoint
 * @param rest how long it wants no requests of the VM that asked it, if it said so
 * @param leaving whether it is leaving
 */
public record EndpointStatement(String instance, Optional<Duration> rest, boolean leaving) {

	public EndpointStatement {
		Objects.requireNonNull(instance, "instance");
		Objects.requireNonNull(rest, "rest");
	}

	/**
	 * Return whether it says anything.
	 * @return whether the endpoint wants rest or is leaving
	 */
	public boolean restricts() {
		return this.rest.isPresent() || this.leaving;
	}

	static EndpointStatement of(TunnelOpenRecord record) {
		Optional<Duration> rest = (record.isSetRestMillis()) ? Optional.of(Duration.ofMillis(record.getRestMillis()))
				: Optional.empty();
		return new EndpointStatement(record.getInstance(), rest, record.isLeaving());
	}

	TunnelOpenRecord record(String sharedKey) {
		TunnelOpenRecord record = new TunnelOpenRecord(sharedKey, this.instance);
		this.rest.ifPresent((time) -> record.setRestMillis(time.toMillis()));
		if (this.leaving) {
			record.setLeaving(true);
		}
		return record;
	}

}
