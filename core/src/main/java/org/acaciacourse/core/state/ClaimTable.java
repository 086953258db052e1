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
 * Claims on requests that must run at most once. Invariants: a key is granted to at most
 * one owner until its request is known not to have run; the fact that a request ran or
 * may have run is retained until it expires, whatever the load; when the stored responses
 * exceed their size limit the oldest are evicted, and when the number of claims reaches
 * its limit new claims are refused.
 * <p>
 * An owner is the id of one process run of an entry VM. It should be followed by
 * {@value #OWNER_SEPARATOR} and a number that the process uses for a single request. The
 * number distinguishes a resent claim or completion from that of a later request with the
 * same key.
 * <p>
 * Not thread safe: belongs to one {@link ControlState}.
 */
final class ClaimTable {

	static final String OWNER_SEPARATOR = "#";

	static final int MAX_CLAIMS = 100_000;

	static final int MAX_RESPONSE_BYTES = 256 * 1024;

	static final long MAX_STORED_RESPONSE_BYTES = 16L * 1024 * 1024;

	/** How long the fact that a request ran or may have run is retained. */
	static final long RETENTION_MILLIS = Duration.ofHours(24).toMillis();

	/**
	 * Age at which an open claim becomes unknown. No request runs this long, so its owner
	 * must have ended without reporting an outcome.
	 */
	static final long ABANDON_TIMEOUT_MILLIS = Duration.ofHours(24).toMillis();

	/** In the order of their last change: the first entries expire first. */
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
			// A delayed resend of a claim whose request has ended must not be granted
			// again.
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
		int length = command.response().length;
		boolean storeResponse = command.outcome() == ClaimOutcome.ANSWERED && length > 0
				&& length <= MAX_RESPONSE_BYTES;
		put(old.withOutcome(command.outcome(), time,
				(storeResponse) ? Optional.of(command.response()) : Optional.empty()));
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
			// The owner resends its claim after a lost reply. Nobody else holds the
			// claim, so it is granted again.
			boolean resend = old.owner().equals(command.owner()) && isSingleUse(command.owner());
			return new ClaimResult((resend) ? ResultCode.OK : ResultCode.CLAIM_IN_PROGRESS, resend, old.outcome(),
					Optional.empty());
		}
		if (old.outcome() == ClaimOutcome.UNKNOWN) {
			return new ClaimResult(ResultCode.CLAIM_OUTCOME_UNKNOWN, false, old.outcome(), Optional.empty());
		}
		ResultCode code = (old.response().isPresent()) ? ResultCode.OK : ResultCode.CLAIM_ANSWER_NOT_KEPT;
		return new ClaimResult(code, false, old.outcome(), old.response());
	}

	private void put(ClaimRecord claim) {
		remove(claim.key());
		this.claims.put(claim.key(), claim);
		claim.response().ifPresent((response) -> {
			this.keysWithResponse.add(claim.key());
			this.storedResponseBytes += response.length;
		});
	}

	private void remove(ClaimKey key) {
		ClaimRecord old = this.claims.remove(key);
		if (old != null && old.response().isPresent()) {
			this.keysWithResponse.remove(key);
			this.storedResponseBytes -= old.response().get().length;
		}
	}

	private void evictOldestResponses() {
		while (this.storedResponseBytes > MAX_STORED_RESPONSE_BYTES) {
			ClaimKey oldest = this.keysWithResponse.iterator().next();
			ClaimRecord claim = this.claims.get(oldest);
			this.keysWithResponse.remove(oldest);
			this.storedResponseBytes -= claim.response().get().length;
			// Replacing the value of an existing key keeps the order of last changes.
			this.claims.put(oldest, claim.withoutResponse());
		}
	}

	// A request that did not run has no outcome that must be retained.
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
