package org.acaciacourse.daemon.codec;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.acaciacourse.core.route.Fleet;
import org.acaciacourse.core.route.FleetEndpoint;
import org.acaciacourse.protocol.generated.FleetRecord;

/**
 * Converts fleets of endpoints to and from the structs of the internal protocol.
 * <p>
 * Thread safe: stateless.
 */
public final class FleetCodec {

	private FleetCodec() {
	}

	/**
	 * Encode the endpoints of a fleet.
	 * @param fleet the fleet
	 * @return a struct for each endpoint
	 */
	public static List<FleetRecord> encode(Fleet fleet) {
		return fleet.endpoints().stream().map(FleetCodec::record).toList();
	}

	private static FleetRecord record(FleetEndpoint endpoint) {
		FleetRecord struct = new FleetRecord(endpoint.instance(), endpoint.pool(), endpoint.address(),
				endpoint.dataCentre(), endpoint.slots(), endpoint.leaving());
		endpoint.version().ifPresent(struct::setVersion);
		endpoint.born().ifPresent(struct::setBorn);
		return struct;
	}

	/**
	 * Decode the endpoints of a fleet.
	 * @param records the structs
	 * @return the endpoints
	 */
	public static List<FleetEndpoint> decode(List<FleetRecord> records) {
		return records.stream()
			.map((struct) -> new FleetEndpoint(struct.getInstance(), struct.getPool(), struct.getAddress(),
					struct.getDataCentre(), struct.getSlots(), struct.isLeaving(),
					Optional.ofNullable(struct.getVersion()),
					(struct.isSetBorn()) ? OptionalLong.of(struct.getBorn()) : OptionalLong.empty()))
			.toList();
	}

}
