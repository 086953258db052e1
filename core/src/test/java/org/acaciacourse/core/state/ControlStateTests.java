package org.acaciacourse.core.state;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.manifest.ManifestDocument;
import org.acaciacourse.core.scaling.PoolProvision;
import org.acaciacourse.core.state.CommandResult.ClaimResult;
import org.acaciacourse.core.state.CommandResult.LeaseResult;
import org.acaciacourse.core.state.CommandResult.ManifestResult;
import org.acaciacourse.core.state.CommandResult.ProvisionResult;
import org.acaciacourse.core.state.CommandResult.UsageResult;
import org.acaciacourse.core.state.ControlStateSnapshot.UsageState;
import org.acaciacourse.core.usage.UsageReport;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link ControlState}.
 */
class ControlStateTests {

	private ControlState state = new ControlState();

	private long index;

	private CommandResult apply(Command command) {
		return this.state.apply(++this.index, command);
	}

	private static ManifestDocument document(String value) {
		SortedMap<String, SortedMap<String, String>> sections = new TreeMap<>();
		sections.put("a", new TreeMap<>(java.util.Map.of("k", value)));
		return new ManifestDocument(sections);
	}

	private ManifestResult put(long number, ManifestDocument next, ManifestDocument base) {
		return (ManifestResult) apply(
				new Command.PutManifest(1, number, next.digest(), base.digest(), base.deltaTo(next), "pipeline"));
	}

	@Nested
	class Manifests {

		@Test
		void resendGetsTheOriginalResultAndADifferentManifestWithThatNumberConflicts() {
			// Two operators submit manifests with the same number, and the first resends
			// because its reply was lost. The second must get the active manifest with
			// its conflict; the first must not get a conflict with its own manifest.
			ManifestDocument first = document("1");
			assertThat(put(5, first, ManifestDocument.empty()).code()).isEqualTo(ResultCode.OK);
			assertThat(put(5, first, ManifestDocument.empty()))
				.isEqualTo(new ManifestResult(ResultCode.OK, 5, first.digest()));
			assertThat(put(5, document("2"), ManifestDocument.empty()))
				.isEqualTo(new ManifestResult(ResultCode.MANIFEST_CONFLICT, 5, first.digest()));
			assertThat(put(4, document("2"), first).code()).isEqualTo(ResultCode.MANIFEST_OUTDATED);
			assertThat(ControlStateTests.this.state.audit()).hasSize(1);
		}

		@Test
		void deltaFromAnOutdatedBaseIsNotApplied() {
			put(1, document("1"), ManifestDocument.empty());
			ManifestResult result = put(2, document("2"), ManifestDocument.empty());
			assertThat(result.baseChanged()).isTrue();
			assertThat(ControlStateTests.this.state.manifestNumber()).isEqualTo(1);
		}

		@Test
		void deltaForAFollowerCombinesSeveralChanges() {
			put(1, document("1"), ManifestDocument.empty());
			put(2, document("2"), document("1"));
			put(3, document("3"), document("2"));
			ControlState state = ControlStateTests.this.state;
			assertThat(document("1").with(state.deltaFrom(1, document("1").digest()).get())).isEqualTo(document("3"));
			assertThat(state.deltaFrom(3, document("3").digest()).get().changed()).isEmpty();
			assertThat(state.deltaFrom(2, document("x").digest())).isEqualTo(Optional.empty());
		}

	}

	@Nested
	class Leases {

		private LeaseResult acquire(long at, String holder) {
			return (LeaseResult) apply(new Command.AcquireLease(at, "writer", holder, 100));
		}

		@Test
		void fencingNumberGrowsOverExpiryAndRelease() {
			assertThat(acquire(0, "a").fencingNumber()).isEqualTo(1);
			assertThat(acquire(99, "b").code()).isEqualTo(ResultCode.LEASE_HELD);
			assertThat(acquire(99, "a").fencingNumber()).isEqualTo(1);
			assertThat(acquire(199, "b").fencingNumber()).isEqualTo(2);
			apply(new Command.ReleaseLease(200, "writer", "b", 2));
			assertThat(acquire(200, "b").fencingNumber()).isEqualTo(3);
		}

		@Test
		void timeDoesNotGoBackWhenAProposerHasASlowClock() {
			acquire(1_000, "a");
			LeaseResult renewed = acquire(500, "a");
			assertThat(renewed.remainingMillis()).isEqualTo(100);
			assertThat(ControlStateTests.this.state.time()).isEqualTo(1_000);
		}

		private LeaseResult acquireDuty(long at, String vm, String run) {
			return (LeaseResult) apply(new Command.AcquireLease(at, "duty", vm + "/" + run, 100, vm, 300, true));
		}

		private void releaseDuty(long at, String holder, long number) {
			apply(new Command.ReleaseLease(at, "duty", holder, number));
		}

		// Guards against a duty that goes from one VM to another and back at once.
		@Test
		void vmThatAnotherOneFollowedMustWait() {
			LeaseResult first = acquireDuty(0, "a", "1");
			releaseDuty(50, "a/1", first.fencingNumber());
			LeaseResult second = acquireDuty(60, "b", "1");
			releaseDuty(70, "b/1", second.fencingNumber());
			assertThat(acquireDuty(80, "a", "2").code()).isEqualTo(ResultCode.LEASE_HELD);
			assertThat(acquireDuty(349, "a", "2").code()).isEqualTo(ResultCode.LEASE_HELD);
			assertThat(acquireDuty(350, "a", "2").code()).isEqualTo(ResultCode.OK);
		}

		@Test
		void timeCountsFromTheExpiryOfALeaseThatWasNotReleased() {
			acquireDuty(0, "a", "1");
			acquireDuty(500, "b", "1");
			assertThat(acquireDuty(600, "a", "1").code()).isEqualTo(ResultCode.OK);
			assertThat(acquireDuty(700, "b", "1").code()).isEqualTo(ResultCode.LEASE_HELD);
			assertThat(acquireDuty(900, "b", "1").code()).isEqualTo(ResultCode.OK);
		}

		@Test
		void vmThatNobodyFollowedMayComeBackAtOnce() {
			LeaseResult first = acquireDuty(0, "a", "1");
			releaseDuty(50, "a/1", first.fencingNumber());
			LeaseResult second = acquireDuty(51, "a", "2");
			assertThat(second.code()).isEqualTo(ResultCode.OK);
			assertThat(second.fencingNumber()).isGreaterThan(first.fencingNumber());
		}

		// Guards against numbers that a new log issues once more, which the platform
		// refuses.
		@Test
		void numberOfADutyExceedsThoseOfAnEarlierLog() {
			long noon = 1_790_000_000_000L;
			assertThat(acquireDuty(noon, "a", "1").fencingNumber()).isEqualTo(noon / 1_000);
			assertThat(acquireDuty(noon + 101, "b", "1").fencingNumber()).isEqualTo(noon / 1_000 + 1);
		}

		@Test
		void clockDoesNotJumpWhileAVmMustWait() {
			acquireDuty(1_000, "a", "1");
			acquireDuty(1_200, "b", "1");
			assertThat(new ProposalClock(ControlStateTests.this.state, 90_000, 0).proposedAt(90_000, 0))
				.isEqualTo(1_200);
		}

	}

	@Nested
	class Provisions {

		// Guards against a pool whose provision shrinks with the endpoints that are left.
		@Test
		void firstCountsHoldAndDataCentresAreAdded() {
			apply(new Command.RecordProvision(0, "pool", new PoolProvision(Map.of("a", 21, "b", 3), Set.of())));
			apply(new Command.RecordProvision(0, "pool", new PoolProvision(Map.of("a", 2), Set.of("b"))));
			ProvisionResult result = (ProvisionResult) apply(
					new Command.RecordProvision(0, "pool", new PoolProvision(Map.of(), Set.of("a"))));
			assertThat(result.provision()).isEqualTo(new PoolProvision(Map.of("a", 21, "b", 3), Set.of("a", "b")));
		}

	}

	@Nested
	class Usage {

		private UsageReport report(long window, long count) {
			return new UsageReport(window, Map.of("a", count));
		}

		private Optional<UsageReport> freeze(long window, long count, long reportedThrough) {
			Command command = new Command.FreezeUsage(0, report(window, count), reportedThrough);
			return ((UsageResult) apply(command)).report();
		}

		// Guards against two reports of a window with different counts.
		@Test
		void firstCountsOfAWindowHold() {
			assertThat(freeze(7, 5, 0)).isEqualTo(Optional.of(report(7, 5)));
			assertThat(freeze(7, 6, 0)).isEqualTo(Optional.of(report(7, 5)));
			assertThat(freeze(8, 1, 0)).isEqualTo(Optional.of(report(8, 1)));
			assertThat(freeze(7, 6, 0)).isEqualTo(Optional.of(report(7, 5)));
		}

		@Test
		void reportedWindowsAreForgottenAndNotFixedAgain() {
			freeze(7, 5, 0);
			freeze(8, 5, 7);
			assertThat(ControlStateTests.this.state.usage()).isEqualTo(new UsageState(8, 7, List.of(report(8, 5))));
			assertThat(freeze(7, 6, 0)).isEqualTo(Optional.empty());
		}

		@Test
		void windowsThatAreNotReportedAreBounded() {
			for (int i = 1; i <= UsageTable.MAX_UNREPORTED + 10; i++) {
				freeze(i, 1, 0);
			}
			UsageState usage = ControlStateTests.this.state.usage();
			assertThat(usage.unreported()).hasSize(UsageTable.MAX_UNREPORTED);
			assertThat(usage.unreported().get(0).window()).isEqualTo(11);
		}

	}

	@Nested
	class Claims {

		private static final ClaimKey KEY = new ClaimKey("c", "k");

		private ClaimResult claim(long at, ClaimKey key, String owner) {
			return (ClaimResult) apply(new Command.Claim(at, key, "hash", owner));
		}

		private ClaimResult complete(ClaimKey key, String owner, ClaimOutcome outcome, byte[] answer) {
			return (ClaimResult) apply(new Command.CompleteClaim(0, key, owner, outcome, answer));
		}

		@Test
		void resendGetsTheStoredResponse() {
			assertThat(claim(0, KEY, "vm1#1").granted()).isTrue();
			assertThat(claim(0, KEY, "vm2#1").code()).isEqualTo(ResultCode.CLAIM_IN_PROGRESS);
			complete(KEY, "vm1#1", ClaimOutcome.ANSWERED, new byte[] { 7 });
			ClaimResult again = claim(0, KEY, "vm2#2");
			assertThat(again.code()).isEqualTo(ResultCode.OK);
			assertThat(again.granted()).isFalse();
			assertThat(again.response().get()).isEqualTo(new byte[] { 7 });
		}

		@Test
		void endOfTheOwnerMarksItsOpenClaimsUnknown() {
			claim(0, KEY, "vm1#1");
			apply(new Command.EndOwner(0, "vm1"));
			assertThat(claim(0, KEY, "vm2#1").code()).isEqualTo(ResultCode.CLAIM_OUTCOME_UNKNOWN);
		}

		@Test
		void lateCompletionDoesNotEndALaterClaim() {
			// A request ends as not run, the client sends it again, and a copy of the
			// first completion arrives late over a slow connection. If it ended the
			// claim of the second request, a third one could run concurrently.
			claim(0, KEY, "vm1#1");
			complete(KEY, "vm1#1", ClaimOutcome.NOT_RUN, new byte[0]);
			assertThat(claim(0, KEY, "vm1#2").granted()).isTrue();
			assertThat(complete(KEY, "vm1#1", ClaimOutcome.NOT_RUN, new byte[0]).code()).isEqualTo(ResultCode.FENCED);
			assertThat(claim(0, KEY, "vm2#1").granted()).isFalse();
			assertThat(claim(0, KEY, "vm1#2").granted()).isTrue();
		}

		@Test
		void responsesAreEvictedFirstAndOutcomesStayUntilTheyExpire() {
			byte[] large = new byte[ClaimTable.MAX_RESPONSE_BYTES];
			long most = ClaimTable.MAX_STORED_RESPONSE_BYTES / large.length;
			for (int i = 0; i <= most; i++) {
				ClaimKey key = new ClaimKey("c", "k" + i);
				claim(0, key, "vm1#" + i);
				complete(key, "vm1#" + i, ClaimOutcome.ANSWERED, large);
			}
			ClaimKey oldest = new ClaimKey("c", "k0");
			assertThat(claim(ClaimTable.RETENTION_MILLIS - 1, oldest, "vm2#1").code())
				.isEqualTo(ResultCode.CLAIM_ANSWER_NOT_KEPT);
			assertThat(ControlStateTests.this.state.statistics().storedResponseBytes())
				.isAtMost(ClaimTable.MAX_STORED_RESPONSE_BYTES);
			assertThat(claim(ClaimTable.RETENTION_MILLIS, oldest, "vm2#2").granted()).isTrue();
		}

		@Test
		void fullTableRefusesNewClaims() {
			for (int i = 0; i < ClaimTable.MAX_CLAIMS; i++) {
				claim(0, new ClaimKey("c", "k" + i), "vm1#" + i);
			}
			assertThat(claim(0, KEY, "vm1#x").code()).isEqualTo(ResultCode.CLAIMS_FULL);
			complete(new ClaimKey("c", "k3"), "vm1#3", ClaimOutcome.NOT_RUN, new byte[0]);
			assertThat(claim(0, KEY, "vm1#x").granted()).isTrue();
		}

	}

	@Nested
	class Crashes {

		@Test
		void highestCountStaysAndRevisionGrows() {
			apply(new Command.ReportCrash(0, 9, 2));
			apply(new Command.ReportCrash(0, 9, 1));
			apply(new Command.ReportCrash(0, 8, 1));
			ControlState state = ControlStateTests.this.state;
			assertThat(state.crashesSince(0)).hasSize(2);
			assertThat(state.crashesSince(0).get(0).crashes()).isEqualTo(2);
			assertThat(state.crashesSince(1)).hasSize(1);
		}

		// Guards against a suspect that is cleared by the VM that tried it without the
		// other VMs being told: they would hold back their own suspects for it.
		@Test
		void clearedSuspectIsReportedAndProvenCrashesStay() {
			apply(new Command.ReportCrash(0, 8, 1));
			apply(new Command.ReportCrash(0, 9, 2));
			apply(new Command.ReportCrash(0, 8, 0));
			apply(new Command.ReportCrash(0, 9, 0));
			ControlState state = ControlStateTests.this.state;
			assertThat(state.crashesSince(2)).hasSize(1);
			assertThat(state.crashesSince(2).get(0).contentHash()).isEqualTo(8);
			assertThat(state.crashesSince(2).get(0).crashes()).isEqualTo(0);
		}

	}

	@Nested
	class Snapshots {

		@Test
		void restoredStateIsTheSame() {
			put(1, document("1"), ManifestDocument.empty());
			apply(new Command.AcquireLease(5, "writer", "a", 100));
			apply(new Command.Claim(6, new ClaimKey("c", "k"), "hash", "vm1#1"));
			apply(new Command.ReportCrash(7, 9, 2));
			apply(new Command.AcquireLease(200, "writer", "b", 100));
			apply(new Command.FreezeUsage(201, new UsageReport(7, Map.of("a", 1L)), 0));
			ControlStateSnapshot snapshot = ControlStateTests.this.state.snapshot();
			assertThat(ControlState.restore(snapshot).snapshot()).isEqualTo(snapshot);
		}

	}

}
