package org.acaciacourse.daemon.codec;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.acaciacourse.core.scaling.PoolDemand;
import org.acaciacourse.protocol.generated.PoolDemandRecord;

/**
 * Converts the demand for pools to and from the structs of the inner protocol.
 * <p>
 * Thread safe: stateless.
 */
public final class DemandCodec {

	private DemandCodec() {
	}

	/**
	 * Encode the demand of an entry VM.
	 * @param demand the demand by the names of the pools
	 * @return the structs
	 */
	public static List<PoolDemandRecord> encode(Map<String, PoolDemand> demand) {
		return demand.entrySet().stream().map((entry) -> encode(entry.getKey(), entry.getValue())).toList();
	}

	private static PoolDemandRecord encode(String pool, PoolDemand demand) {
		return new PoolDemandRecord(pool, demand.prefillTokens(), demand.outputTokens(), demand.begun(),
				demand.refused(), demand.late(), demand.largestWaitMillis(), demand.heldTokens());
	}

	/**
	 * Decode the demand of an entry VM. A pool without a name is left out.
	 * @param structs the structs
	 * @return the demand by the names of the pools
	 */
	public static Map<String, PoolDemand> decode(List<PoolDemandRecord> structs) {
		Map<String, PoolDemand> demand = new HashMap<>();
		structs.stream()
			.filter(PoolDemandRecord::isSetPool)
			.forEach((struct) -> demand.put(struct.getPool(),
					new PoolDemand(struct.getPrefillTokens(), struct.getOutputTokens(), struct.getBegun(),
							struct.getRefused(), struct.getLate(), struct.getLargestWaitMillis(),
							struct.getHeldTokens())));
		return demand;
	}

}
