package org.acaciacourse.core.state;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.state.CommandResult.ClaimResult;
import org.acaciacourse.core.state.ControlStateSnapshot.ClaimRecord;

/**
 * Claims of requests that may not be repeated. Invariants: at most one owner is granted a
 * claim until it is proven that its request was not run; that a request ran or may have
 * run is not forgotten before it expires, whatever the load; at the bound on kept bytes
 * the oldest answers go first, then new claims are refused at the bound on their count.
 * <p>
 * An owner is a run of an entry VM, best followed by {@value #OWNER_SEPARATOR} and a
 * number that the run uses for one request only. With the number a resent claim or
 * completion is told from the one of a later request with the same key.
 * <p>
 * Not thread safe: belongs to one {@link ControlState}.
 */
final class ClaimTable {

	static final String OWNER_SEPARATOR = "#";

	static final int MAX_CLAIMS = 100_000;

	static final int MAX_RESPONSE_BYTES = 256 * 1024;

	static final long MAX_STORED_RESPONSE_BYTES = 16L * 1024 * 1024;

	/** How long it is known that a request ran or may have run. */
	static final long RETENTION_MILLIS = Duration.ofHours(24).toMillis();

	/** No request runs that long: its owner is gone without a trace. */
	static final long ABANDON_TIMEOUT_MILLIS = Duration.ofHours(24).toMillis();

	/** In the order of their last change, so that the first ones expire first. */
	private final Map<ClaimKey, ClaimRecord> claims = new LinkedHashMap<>();

	private final Set<ClaimKey> keysWithResponse = new LinkedHashSet<>();

	private long storedResponseBytes;

	ClaimTable(List<ClaimRecord> claims) {
		claims.forEach(this::put);
	}

	ClaimResult claim(Command.Claim command, long time) {
		ClaimRecord old = this.claims.get(command.key());
		if (old != null && old.outcome() != ClaimOutcome.NOT_RUN) {
			return resultForExisting(old, command);
		}
		if (old != null && old.owner().equals(command.owner()) && isSingleUse(command.owner())) {
			// A resend that arrives after its request ended must not claim again.
			return new ClaimResult(ResultCode.CLAIM_UNAVAILABLE, false, ClaimOutcome.NOT_RUN, Optional.empty());
		}
		if (old == null && this.claims.size() >= MAX_CLAIMS && !evictOneNotRun()) {
			return new ClaimResult(ResultCode.CLAIMS_FULL, false, ClaimOutcome.NOT_RUN, Optional.empty());
		}
		put(new ClaimRecord(command.key(), command.contentHash(), command.owner(), ClaimOutcome.IN_PROGRESS, time,
				Optional.empty()));
		return new ClaimResult(ResultCode.OK, true, ClaimOutcome.IN_PROGRESS, Optional.empty());
	}

	ClaimResult complete(Command.CompleteClaim command, long time) {
		ClaimRecord old = this.claims.get(command.key());
		if (old == null || !old.owner().equals(command.owner())) {
			return new ClaimResult(ResultCode.FENCED, false, (old != null) ? old.outcome() : ClaimOutcome.NOT_RUN,
					Optional.empty());
		}
		boolean open = old.outcome() == ClaimOutcome.IN_PROGRESS || old.outcome() == ClaimOutcome.UNKNOWN;
		if (!open || command.outcome() == ClaimOutcome.IN_PROGRESS || command.outcome() == old.outcome()) {
			return new ClaimResult(ResultCode.OK, false, old.outcome(), Optional.empty());
		}
		int length = command.answer().length;
		boolean storeResponse = command.outcome() == ClaimOutcome.ANSWERED && length > 0
				&& length <= MAX_RESPONSE_BYTES;
		put(old.withOutcome(command.outcome(), time,
				(storeResponse) ? Optional.of(command.answer()) : Optional.empty()));
		evictOldestResponses();
		return new ClaimResult(ResultCode.OK, false, command.outcome(), Optional.empty());
	}

	void endOwner(String owner, long time) {
		List<ClaimRecord> held = this.claims.values()
			.stream()
			.filter((claim) -> claim.outcome() == ClaimOutcome.IN_PROGRESS && belongsTo(claim.owner(), owner))
			.toList();
		held.forEach((claim) -> put(claim.withOutcome(ClaimOutcome.UNKNOWN, time, Optional.empty())));
	}

	void expire(long time) {
		while (!this.claims.isEmpty()) {
			ClaimRecord oldest = this.claims.values().iterator().next();
			long age = time - oldest.changedAt();
			if (oldest.outcome() == ClaimOutcome.IN_PROGRESS && age >= ABANDON_TIMEOUT_MILLIS) {
				put(oldest.withOutcome(ClaimOutcome.UNKNOWN, time, Optional.empty()));
			}
			else if (oldest.outcome() != ClaimOutcome.IN_PROGRESS && age >= RETENTION_MILLIS) {
				remove(oldest.key());
			}
			else {
				return;
			}
		}
	}

	Optional<ClaimRecord> get(ClaimKey key) {
		return Optional.ofNullable(this.claims.get(key));
	}

	List<ClaimRecord> claims() {
		return List.copyOf(this.claims.values());
	}

	int size() {
		return this.claims.size();
	}

	long storedResponseBytes() {
		return this.storedResponseBytes;
	}

	private ClaimResult resultForExisting(ClaimRecord old, Command.Claim command) {
		if (!old.contentHash().equals(command.contentHash())) {
			return new ClaimResult(ResultCode.CLAIM_CONTENT_DIFFERS, false, old.outcome(), Optional.empty());
		}
		if (old.outcome() == ClaimOutcome.IN_PROGRESS) {
			// The owner's own resend after a lost answer: it alone waits for this claim.
			boolean resend = old.owner().equals(command.owner()) && isSingleUse(command.owner());
			return new ClaimResult((resend) ? ResultCode.OK : ResultCode.CLAIM_IN_PROGRESS, resend, old.outcome(),
					Optional.empty());
		}
		if (old.outcome() == ClaimOutcome.UNKNOWN) {
			return new ClaimResult(ResultCode.CLAIM_OUTCOME_UNKNOWN, false, old.outcome(), Optional.empty());
		}
		ResultCode code = (old.answer().isPresent()) ? ResultCode.OK : ResultCode.CLAIM_ANSWER_NOT_KEPT;
		return new ClaimResult(code, false, old.outcome(), old.answer());
	}

	private void put(ClaimRecord claim) {
		remove(claim.key());
		this.claims.put(claim.key(), claim);
		claim.answer().ifPresent((answer) -> {
			this.keysWithResponse.add(claim.key());
			this.storedResponseBytes += answer.length;
		});
	}

	private void remove(ClaimKey key) {
		ClaimRecord old = this.claims.remove(key);
		if (old != null && old.answer().isPresent()) {
			this.keysWithResponse.remove(key);
			this.storedResponseBytes -= old.answer().get().length;
		}
	}

	private void evictOldestResponses() {
		while (this.storedResponseBytes > MAX_STORED_RESPONSE_BYTES) {
			ClaimKey oldest = this.keysWithResponse.iterator().next();
			ClaimRecord claim = this.claims.get(oldest);
			this.keysWithResponse.remove(oldest);
			this.storedResponseBytes -= claim.answer().get().length;
			// Replaces the value in place: the order of the last changes stays.
			this.claims.put(oldest, claim.withoutResponse());
		}
	}

	// A request that was not run leaves no fact that a claim has to guard.
	private boolean evictOneNotRun() {
		Optional<ClaimKey> evictable = this.claims.values()
			.stream()
			.filter((claim) -> claim.outcome() == ClaimOutcome.NOT_RUN)
			.map(ClaimRecord::key)
			.findFirst();
		evictable.ifPresent(this::remove);
		return evictable.isPresent();
	}

	private static boolean isSingleUse(String owner) {
		return owner.contains(OWNER_SEPARATOR);
	}

	private static boolean belongsTo(String owner, String run) {
		return owner.equals(run) || owner.startsWith(run + OWNER_SEPARATOR);
	}

}
