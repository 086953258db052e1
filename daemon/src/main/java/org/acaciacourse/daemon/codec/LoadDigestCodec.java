package org.acaciacourse.daemon.codec;

import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;

import io.vavr.control.Either;
import io.vavr.control.Try;
import org.acaciacourse.core.balance.LoadDigest;
import org.acaciacourse.core.balance.PartUse;
import org.acaciacourse.core.balance.PeerLoads;
import org.acaciacourse.core.balance.PromptShape;
import org.acaciacourse.core.balance.RateLimits;
import org.acaciacourse.core.crash.FeatureFact;
import org.acaciacourse.core.share.CustomerWork;
import org.acaciacourse.core.share.CustomerWorks;
import org.acaciacourse.core.speed.SpeedStatement;
import org.acaciacourse.core.stream.OriginMessage;
import org.acaciacourse.protocol.generated.CustomerWorkRecord;
import org.acaciacourse.protocol.generated.EndpointLoadRecord;
import org.acaciacourse.protocol.generated.FeatureFactRecord;
import org.acaciacourse.protocol.generated.LoadDigestRecord;
import org.acaciacourse.protocol.generated.OtherCustomersRecord;
import org.acaciacourse.protocol.generated.PartUseRecord;
import org.acaciacourse.protocol.generated.RateLimitRecord;
import org.acaciacourse.protocol.generated.SpeedRecord;

/**
 * Converts load digests to and from the content of datagrams.
 * <p>
 * Thread safe: stateless.
 */
public final class LoadDigestCodec {

	private static final LoadDigest.Kind[] KINDS = LoadDigest.Kind.values();

	private static final FeatureFact.Kind[] FACT_KINDS = FeatureFact.Kind.values();

	private LoadDigestCodec() {
	}

	/**
	 * Encode a digest.
	 * @param digest the digest
	 * @return the content of a datagram
	 */
	public static byte[] encode(LoadDigest digest) {
		List<EndpointLoadRecord> loads = digest.loads()
			.stream()
			.map((load) -> new EndpointLoadRecord(load.endpoint(), load.inFlight(), load.waitingWork(), load.brief()))
			.toList();
		LoadDigestRecord record = new LoadDigestRecord(digest.sequence(), loads);
		record.setUses(digest.uses()
			.stream()
			.map((use) -> new PartUseRecord(use.endpoint(), use.part().id(), use.part().tokens()))
			.toList());
		record.setKind(digest.kind().ordinal()).setPart(digest.part()).setParts(digest.parts()).setVms(digest.vms());
		if (!digest.acknowledged().isEmpty()) {
			record.setHeard(digest.acknowledged());
		}
		if (!digest.facts().isEmpty()) {
			record.setFacts(digest.facts().stream().map(LoadDigestCodec::factRecord).toList());
		}
		if (!digest.limits().isEmpty()) {
			record.setLimits(digest.limits().stream().map(LoadDigestCodec::limitRecord).toList());
		}
		if (!digest.speeds().isEmpty()) {
			record.setSpeeds(digest.speeds()
				.stream()
				.map((speed) -> new SpeedRecord(speed.endpoint(), speed.thousandths(), speed.weight()))
				.toList());
		}
		if (!digest.customers().equals(CustomerWorks.NONE)) {
			addCustomers(record, digest.customers());
		}
		return ThriftBytes.encode(record);
	}

	/**
	 * Decode a datagram of another entry VM.
	 * @param bytes the content of the datagram
	 * @return a digest, or a message about the origins of streams; a failure if the
	 * content is neither
	 */
	public static Try<Either<OriginMessage, LoadDigest>> decode(byte[] bytes) {
		return ThriftBytes.decode(bytes, new LoadDigestRecord())
			.mapTry((record) -> (record.isSetOrigins()) ? Either.left(OriginMessageCodec.decode(record))
					: Either.right(digest(record)));
	}

	// A VM of an older release sends only its own load, as a single part.
	private static LoadDigest digest(LoadDigestRecord record) {
		List<PeerLoads.Load> loads = record.getLoads().stream().map(LoadDigestCodec::load).toList();
		List<PartUse> uses = (record.isSetUses()) ? record.getUses().stream().map(LoadDigestCodec::use).toList()
				: List.of();
		return new LoadDigest(KINDS[record.getKind()], record.getSequence(), record.getPart(),
				(record.isSetParts()) ? record.getParts() : 1, (record.isSetVms()) ? record.getVms() : 1, loads, uses,
				(record.isSetHeard()) ? record.getHeard() : Map.of(),
				(record.isSetFacts()) ? record.getFacts().stream().map(LoadDigestCodec::fact).toList() : List.of(),
				(record.isSetLimits()) ? record.getLimits().stream().map(LoadDigestCodec::limit).toList() : List.of(),
				customers(record), (record.isSetSpeeds()) ? speeds(record.getSpeeds()) : List.of());
	}

	// A statement that is out of range must not make the loads unreadable.
	private static List<SpeedStatement> speeds(List<SpeedRecord> records) {
		return records.stream()
			.filter((record) -> SpeedStatement.isValid(record.getSpeed(), record.getWeight()))
			.map((record) -> new SpeedStatement(record.getInstance(), record.getSpeed(), record.getWeight()))
			.toList();
	}

	private static void addCustomers(LoadDigestRecord record, CustomerWorks customers) {
		record.setCustomers(
				customers.largest().stream().map((work) -> new CustomerWorkRecord(work.key(), work.work())).toList());
		record.setOtherCustomers(new OtherCustomersRecord(customers.others(), customers.otherWork()));
	}

	private static CustomerWorks customers(LoadDigestRecord record) {
		List<CustomerWork> largest = (record.isSetCustomers()) ? record.getCustomers()
			.stream()
			.map((work) -> new CustomerWork(work.getCustomer(), work.getWork()))
			.toList() : List.of();
		OtherCustomersRecord others = (record.isSetOtherCustomers()) ? record.getOtherCustomers()
				: new OtherCustomersRecord(0, 0);
		return new CustomerWorks(largest, others.getNumber(), others.getWork());
	}

	private static RateLimitRecord limitRecord(RateLimits.Statement limit) {
		RateLimitRecord record = new RateLimitRecord().setInstance(limit.endpoint()).setAgeMillis(limit.ageMillis());
		limit.perSecond().ifPresent(record::setPerSecond);
		return record;
	}

	private static RateLimits.Statement limit(RateLimitRecord record) {
		OptionalDouble perSecond = (record.isSetPerSecond()) ? OptionalDouble.of(record.getPerSecond())
				: OptionalDouble.empty();
		return new RateLimits.Statement(record.getInstance(), perSecond, record.getAgeMillis());
	}

	private static FeatureFactRecord factRecord(FeatureFact fact) {
		FeatureFactRecord record = new FeatureFactRecord(fact.kind().ordinal(), fact.feature());
		if (fact.kind() == FeatureFact.Kind.CRASHED) {
			record.setInstance(fact.run().endpoint())
				.setPool(fact.run().pool())
				.setPoolSize(fact.run().poolSize())
				.setMillis(fact.run().millis());
		}
		if (fact.ageMillis() > 0) {
			record.setAgeMillis((int) Math.min(Integer.MAX_VALUE, fact.ageMillis()));
		}
		return record;
	}

	private static FeatureFact fact(FeatureFactRecord record) {
		FeatureFact.Kind kind = FACT_KINDS[record.getKind()];
		FeatureFact.Run run = (kind == FeatureFact.Kind.CRASHED)
				? new FeatureFact.Run(record.getInstance(), record.getPool(), record.getPoolSize(), record.getMillis())
				: FeatureFact.Run.NONE;
		return new FeatureFact(kind, record.getFeature(), run, record.getAgeMillis());
	}

	private static PeerLoads.Load load(EndpointLoadRecord load) {
		if (load.getInFlight() < 0 || load.getWaitingWork() < 0 || load.getBrief() < 0) {
			throw new IllegalArgumentException("negative load of endpoint " + load.getInstance());
		}
		return new PeerLoads.Load(load.getInstance(), load.getInFlight(), load.getWaitingWork(), load.getBrief());
	}

	private static PartUse use(PartUseRecord use) {
		return new PartUse(use.getInstance(), new PromptShape.Part(use.getPart(), use.getTokens()));
	}

}
