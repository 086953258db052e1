package org.acaciacourse.daemon.codec;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

import io.vavr.control.Try;
import org.acaciacourse.core.scaling.PoolProvision;
import org.acaciacourse.core.state.ClaimKey;
import org.acaciacourse.core.state.ControlStateSnapshot;
import org.acaciacourse.core.state.ControlStateSnapshot.ActiveManifest;
import org.acaciacourse.core.state.ControlStateSnapshot.AuditEntry;
import org.acaciacourse.core.state.ControlStateSnapshot.ClaimRecord;
import org.acaciacourse.core.state.ControlStateSnapshot.FormerHolder;
import org.acaciacourse.core.state.ControlStateSnapshot.Lease;
import org.acaciacourse.core.state.ControlStateSnapshot.ManifestChange;
import org.acaciacourse.core.state.ControlStateSnapshot.UsageState;
import org.acaciacourse.protocol.generated.AuditRecord;
import org.acaciacourse.protocol.generated.ClaimEntryRecord;
import org.acaciacourse.protocol.generated.CrashRecord;
import org.acaciacourse.protocol.generated.FormerHolderRecord;
import org.acaciacourse.protocol.generated.LeaseRecord;
import org.acaciacourse.protocol.generated.ManifestChangeRecord;
import org.acaciacourse.protocol.generated.ProvisionRecord;
import org.acaciacourse.protocol.generated.StateRecord;
import org.acaciacourse.protocol.generated.UsageStateRecord;

/**
 * Converts the state of the state machine to and from the content of a snapshot.
 * <p>
 * Thread safe: stateless.
 */
public final class StateCodec {

	private StateCodec() {
	}

	/**
	 * Encode a state.
	 * @param state the state
	 * @return the bytes
	 */
	public static byte[] encode(ControlStateSnapshot state) {
		StateRecord struct = new StateRecord();
		struct.setAppliedIndex(state.appliedIndex()).setTime(state.time());
		struct.setNumber(state.manifest().number()).setDigest(state.manifest().digest());
		struct.setSections(ManifestCodec.encode(state.manifest().document()));
		struct.setHistory(state.history().stream().map(StateCodec::encode).toList());
		struct.setAudit(state.audit().stream().map(StateCodec::encode).toList());
		struct.setFencingNumber(state.fencingNumber());
		struct.setLeases(state.leases().stream().map(StateCodec::encode).toList());
		struct.setClaims(state.claims().stream().map(StateCodec::encode).toList());
		struct.setCrashRevision(state.crashRevision());
		struct.setCrashes(state.crashes().stream().map(StateCodec::encode).toList());
		struct.setFormerHolders(state.formerHolders().stream().map(StateCodec::encode).toList());
		struct.setUsage(encode(state.usage()));
		List<ProvisionRecord> provisions = new ArrayList<>();
		state.provisions().forEach((pool, provision) -> provisions.add(ProvisionCodec.encode(pool, provision)));
		struct.setProvisions(provisions);
		return ThriftBytes.encode(struct);
	}

	/**
	 * Decode a state.
	 * @param bytes the bytes
	 * @return the state, or a failure if the bytes are not a valid encoding
	 */
	public static Try<ControlStateSnapshot> decode(byte[] bytes) {
		return ThriftBytes.decode(bytes, new StateRecord()).mapTry(StateCodec::state);
	}

	private static ControlStateSnapshot state(StateRecord struct) {
		ActiveManifest manifest = new ActiveManifest(struct.getNumber(), struct.getDigest(),
				ManifestCodec.decode(struct.getSections()));
		return new ControlStateSnapshot(struct.getAppliedIndex(), struct.getTime(), manifest,
				struct.getHistory().stream().map(StateCodec::decode).toList(),
				struct.getAudit().stream().map(StateCodec::decode).toList(), struct.getFencingNumber(),
				struct.getLeases().stream().map(StateCodec::decode).toList(),
				struct.getClaims().stream().map(StateCodec::decode).toList(), struct.getCrashRevision(),
				struct.getCrashes().stream().map(StateCodec::decode).toList(), formerHolders(struct), usage(struct),
				provisions(struct));
	}

	private static SortedMap<String, PoolProvision> provisions(StateRecord struct) {
		SortedMap<String, PoolProvision> provisions = new TreeMap<>();
		if (struct.isSetProvisions()) {
			struct.getProvisions()
				.forEach((provision) -> provisions.put(provision.getPool(), ProvisionCodec.decode(provision)));
		}
		return provisions;
	}

	// A snapshot of an older release has neither former holders, usage nor provisions.
	private static List<FormerHolder> formerHolders(StateRecord struct) {
		return (struct.isSetFormerHolders()) ? struct.getFormerHolders().stream().map(StateCodec::decode).toList()
				: List.of();
	}

	private static UsageState usage(StateRecord struct) {
		return (struct.isSetUsage()) ? decode(struct.getUsage()) : UsageState.EMPTY;
	}

	private static ManifestChangeRecord encode(ManifestChange change) {
		return new ManifestChangeRecord(change.number(), change.digest(), change.baseNumber(), change.baseDigest(),
				ManifestCodec.encode(change.delta()));
	}

	private static ManifestChange decode(ManifestChangeRecord change) {
		return new ManifestChange(change.getNumber(), change.getDigest(), change.getBaseNumber(),
				change.getBaseDigest(), ManifestCodec.decode(change.getDelta()));
	}

	/**
	 * Encode a record of the audit log.
	 * @param entry the record
	 * @return the struct
	 */
	public static AuditRecord encode(AuditEntry entry) {
		return new AuditRecord(entry.at(), entry.operator(), entry.number(), entry.digest(), entry.changedSections());
	}

	private static AuditEntry decode(AuditRecord entry) {
		return new AuditEntry(entry.getAt(), entry.getOperatorName(), entry.getNumber(), entry.getDigest(),
				entry.getChangedSections());
	}

	private static LeaseRecord encode(Lease lease) {
		return new LeaseRecord(lease.name(), lease.holder(), lease.fencingNumber(), lease.expiresAt())
			.setVm(lease.vm());
	}

	private static Lease decode(LeaseRecord lease) {
		String vm = (lease.isSetVm()) ? lease.getVm() : lease.getHolder();
		return new Lease(lease.getName(), lease.getHolder(), lease.getFencingNumber(), lease.getExpiresAt(), vm);
	}

	private static FormerHolderRecord encode(FormerHolder former) {
		return new FormerHolderRecord(former.lease(), former.vm(), former.endedAt());
	}

	private static FormerHolder decode(FormerHolderRecord former) {
		return new FormerHolder(former.getLease(), former.getVm(), former.getEndedAt());
	}

	private static UsageStateRecord encode(UsageState usage) {
		return new UsageStateRecord(usage.frozenThrough(), usage.reportedThrough(),
				UsageCodec.encode(usage.unreported()));
	}

	private static UsageState decode(UsageStateRecord usage) {
		return new UsageState(usage.getFrozenThrough(), usage.getReportedThrough(),
				UsageCodec.decode(usage.getUnreported()));
	}

	private static ClaimEntryRecord encode(ClaimRecord claim) {
		ClaimEntryRecord struct = new ClaimEntryRecord();
		struct.setCustomer(claim.key().customer()).setIdempotencyKey(claim.key().idempotencyKey());
		struct.setContentHash(claim.contentHash()).setOwner(claim.owner());
		struct.setOutcome(claim.outcome().ordinal()).setChangedAt(claim.changedAt());
		claim.response().ifPresent(struct::setAnswer);
		return struct;
	}

	private static ClaimRecord decode(ClaimEntryRecord claim) {
		ClaimKey key = new ClaimKey(claim.getCustomer(), claim.getIdempotencyKey());
		Optional<byte[]> response = (claim.isSetAnswer()) ? Optional.of(claim.getAnswer()) : Optional.empty();
		return new ClaimRecord(key, claim.getContentHash(), claim.getOwner(), CommandCodec.outcome(claim.getOutcome()),
				claim.getChangedAt(), response);
	}

	private static CrashRecord encode(ControlStateSnapshot.CrashRecord crash) {
		return new CrashRecord(crash.contentHash(), crash.crashes(), crash.revision());
	}

	private static ControlStateSnapshot.CrashRecord decode(CrashRecord crash) {
		return new ControlStateSnapshot.CrashRecord(crash.getContentHash(), crash.getCrashes(), crash.getRevision());
	}

}
