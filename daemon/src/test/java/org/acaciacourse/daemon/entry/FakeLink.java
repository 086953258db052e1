package org.acaciacourse.daemon.entry;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Supplier;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.model.Manifest;
import org.acaciacourse.core.state.ClaimKey;
import org.acaciacourse.core.state.ClaimOutcome;
import org.acaciacourse.daemon.link.ControlLink;
import org.acaciacourse.protocol.generated.ClassReport;

/**
 * A control link that keeps the claims in memory.
 * <p>
 * Thread safe.
 */
final class FakeLink implements ControlLink {

	private final Map<ClaimKey, ClaimResult> claims = new ConcurrentHashMap<>();

	private final Map<ClaimKey, String> contentHashes = new ConcurrentHashMap<>();

	/** The outcomes of completed claims, in order of completion. */
	final LinkedBlockingQueue<ClaimOutcome> completed = new LinkedBlockingQueue<>();

	private final Manifest manifest;

	private volatile boolean quorum = true;

	private Listener listener;

	private Supplier<List<ClassReport>> reports;

	FakeLink(Manifest manifest) {
		this.manifest = manifest;
	}

	void loseQuorum() {
		this.quorum = false;
	}

	void set(ClaimKey key, String hash, ClaimResult result) {
		if (hash != null) {
			this.contentHashes.put(key, hash);
		}
		this.claims.put(key, result);
	}

	List<ClassReport> reports() {
		return this.reports.get();
	}

	@Override
	public void start(Listener follower, Supplier<List<ClassReport>> results) {
		this.listener = follower;
		this.reports = results;
		follower.manifestChanged(this.manifest);
		follower.upToDate();
	}

	Listener listener() {
		return this.listener;
	}

	@Override
	public void announceLeaving() {
	}

	@Override
	public CompletionStage<ClaimResult> claim(ClaimKey key, String contentHash, String traceparent) {
		if (!this.quorum) {
			return claimResult(false, ResultCode.CLAIM_UNAVAILABLE, ClaimOutcome.UNKNOWN);
		}
		String first = this.contentHashes.putIfAbsent(key, contentHash);
		if (first != null && !first.equals(contentHash)) {
			return claimResult(false, ResultCode.CLAIM_CONTENT_DIFFERS, ClaimOutcome.UNKNOWN);
		}
		ClaimResult known = this.claims.putIfAbsent(key,
				new ClaimResult(false, ResultCode.CLAIM_IN_PROGRESS, ClaimOutcome.IN_PROGRESS, Optional.empty()));
		return (known != null) ? CompletableFuture.completedFuture(known)
				: claimResult(true, ResultCode.OK, ClaimOutcome.IN_PROGRESS);
	}

	private static CompletionStage<ClaimResult> claimResult(boolean granted, ResultCode code, ClaimOutcome outcome) {
		return CompletableFuture.completedFuture(new ClaimResult(granted, code, outcome, Optional.empty()));
	}

	@Override
	public CompletionStage<ResultCode> complete(ClaimKey key, ClaimOutcome outcome, byte[] response) {
		if (outcome == ClaimOutcome.NOT_RUN) {
			this.claims.remove(key);
		}
		else {
			ResultCode code = (outcome != ClaimOutcome.ANSWERED) ? ResultCode.CLAIM_OUTCOME_UNKNOWN : ResultCode.OK;
			this.claims.put(key, new ClaimResult(false, code, outcome, Optional.of(response)));
		}
		this.completed.add(outcome);
		return CompletableFuture.completedFuture(ResultCode.OK);
	}

	@Override
	public void reportCrash(long contentHash, int crashes) {
	}

	@Override
	public void close() {
	}

}
