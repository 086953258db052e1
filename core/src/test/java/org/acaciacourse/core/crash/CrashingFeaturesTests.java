package org.acaciacourse.core.crash;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class CrashingFeaturesTests {

	private static final long SECOND = 1_000_000_000L;

	private static final int POOL = 3;

	private static final int POOL_SIZE = 13;

	private static final long CULPRIT = 1;

	private static final long OTHER = 2;

	private final CrashingFeatures features = new CrashingFeatures(0);

	private long now = -7 * SECOND;

	private void crash(int endpoint, int millis, long... present) {
		for (long content : present) {
			this.features.record(FeatureFact.crashed(content, new FeatureFact.Run(endpoint, POOL, POOL_SIZE, millis)),
					this.now);
		}
		this.now += SECOND;
	}

	private static RequestFeatures request(long content, Long... parts) {
		return new RequestFeatures(content, List.of(parts));
	}

	private boolean isRefused(long content) {
		return this.features.refusedFor(request(content), this.now).isPresent();
	}

	@Nested
	class Blocked {

		// Guards against a third crash of a content that met two shortly after it was
		// sent.
		@Test
		void contentIsRefusedAfterTwoCrashesThatAreHardlyByChance() {
			crash(1, 150, CULPRIT);
			assertThat(isRefused(CULPRIT)).isFalse();
			crash(2, 150, CULPRIT);
			assertThat(isRefused(CULPRIT)).isTrue();
			assertThat(isRefused(OTHER)).isFalse();
		}

		// Guards against a fifth crash of a content that looks like any other.
		@Test
		void contentIsRefusedAfterFourCrashesInAnyCase() {
			for (int endpoint = 1; endpoint <= 3; endpoint++) {
				crash(endpoint, 20_000, CULPRIT);
				assertThat(isRefused(CULPRIT)).isFalse();
			}
			crash(4, 20_000, CULPRIT);
			assertThat(isRefused(CULPRIT)).isTrue();
		}

		// Guards against a repeat between two crashes and the facts of other VMs.
		@Test
		void contentIsHeldUntilTheFactsOfOtherVmsHaveArrived() {
			crash(1, 150, CULPRIT);
			crash(2, 150, CULPRIT);
			long atCrash = CrashingFeaturesTests.this.now - SECOND;
			assertThat(CrashingFeaturesTests.this.features.refusedFor(request(CULPRIT), atCrash).getAsLong())
				.isEqualTo(CrashingFeatures.SETTLE_NANOS);
		}

		// Guards against a VM that has met no crash itself.
		@Test
		void contentThatAnotherVmBlocksIsRefused() {
			assertThat(CrashingFeaturesTests.this.features.record(FeatureFact.blocked(CULPRIT), 0)).isTrue();
			assertThat(CrashingFeaturesTests.this.features.record(FeatureFact.blocked(CULPRIT), 1)).isFalse();
			CrashingFeaturesTests.this.now = SECOND;
			assertThat(isRefused(CULPRIT)).isTrue();
		}

		// Guards against a wrong block that never ends, and a right one that ends too
		// soon.
		@Test
		void blockExpiresAndTheNextCrashRenewsIt() {
			crash(1, 150, CULPRIT);
			crash(2, 150, CULPRIT);
			assertThat(isRefused(CULPRIT)).isTrue();
			CrashingFeaturesTests.this.now += Suspect.FIRST_BLOCK_NANOS - 1;
			assertThat(isRefused(CULPRIT)).isTrue();
			CrashingFeaturesTests.this.now += CrashingFeatures.MAX_STAGGER_NANOS;
			assertThat(isRefused(CULPRIT)).isFalse();
			crash(3, 5_000, CULPRIT);
			assertThat(isRefused(CULPRIT)).isTrue();
			CrashingFeaturesTests.this.now += Suspect.FIRST_BLOCK_NANOS;
			assertThat(isRefused(CULPRIT)).isTrue();
		}

	}

	@Nested
	class Sound {

		// Guards against sound content that is refused for the crashes of another
		// content.
		@Test
		void crashesThatAnotherContentExplainsDoNotCount() {
			crash(1, 150, CULPRIT, OTHER);
			crash(2, 150, CULPRIT);
			assertThat(isRefused(CULPRIT)).isTrue();
			crash(3, 150, OTHER);
			assertThat(isRefused(OTHER)).isFalse();
		}

		// Guards against a sound content that meets the culprit twice and is blocked in
		// its
		// place.
		@Test
		void contentsThatAreNotToldApartAreNotBlocked() {
			crash(1, 150, CULPRIT, OTHER);
			crash(2, 150, CULPRIT, OTHER);
			assertThat(isRefused(CULPRIT)).isFalse();
			assertThat(isRefused(OTHER)).isFalse();
			crash(3, 150, CULPRIT);
			assertThat(isRefused(CULPRIT)).isTrue();
			assertThat(isRefused(OTHER)).isFalse();
		}

		// Guards against sound content that is refused as many endpoints crash at a time.
		@Test
		void crashesAreByChanceWhileManyEndpointsCrash() {
			for (int endpoint = 10; endpoint < 22; endpoint++) {
				crash(endpoint, 1_000, endpoint);
			}
			crash(1, 500, OTHER);
			crash(2, 500, OTHER);
			assertThat(isRefused(OTHER)).isFalse();
		}

		// Guards against suspicions that outlive the proof that the content is sound.
		@Test
		void completeResponseClearsTheContent() {
			crash(1, 150, OTHER);
			CrashingFeaturesTests.this.features.record(FeatureFact.answered(OTHER), CrashingFeaturesTests.this.now);
			crash(2, 150, OTHER);
			assertThat(CrashingFeaturesTests.this.features.crashes(OTHER)).isEqualTo(0);
			CrashingFeaturesTests.this.now += 2 * SECOND;
			crash(3, 150, OTHER);
			assertThat(CrashingFeaturesTests.this.features.crashes(OTHER)).isEqualTo(1);
			assertThat(isRefused(OTHER)).isFalse();
		}

		// Guards against one crash that counts as often as it is told.
		@Test
		void crashCountsOnceHoweverOftenItIsTold() {
			crash(1, 150, OTHER);
			crash(1, 150, OTHER);
			crash(1, 100, OTHER);
			assertThat(CrashingFeaturesTests.this.features.crashes(OTHER)).isEqualTo(1);
			assertThat(isRefused(OTHER)).isFalse();
		}

	}

	@Nested
	class Parts {

		private static final long FIRST = 10;

		private static final long CRASHING = 11;

		private static final long SOUND = 12;

		private int content = 100;

		private int endpoint = 100;

		/** A request of its own content crashes an endpoint of its own. */
		private void crashes(Long... parts) {
			this.content++;
			this.endpoint++;
			crash(this.endpoint, 150, this.content);
			CrashingFeaturesTests.this.now -= SECOND;
			for (long part : parts) {
				crash(this.endpoint, 150, part);
				CrashingFeaturesTests.this.now -= SECOND;
			}
			CrashingFeaturesTests.this.now += SECOND;
		}

		private void answered(long part) {
			CrashingFeaturesTests.this.features.record(FeatureFact.answered(part), CrashingFeaturesTests.this.now);
		}

		private boolean isSent(Long... parts) {
			this.content++;
			return CrashingFeaturesTests.this.features
				.refusedFor(request(this.content, parts), CrashingFeaturesTests.this.now)
				.isEmpty();
		}

		private void othersAreAnswered() {
			CrashingFeaturesTests.this.features.poolAnswered(POOL, CrashingFeaturesTests.this.now);
			CrashingFeaturesTests.this.now += SECOND;
		}

		// Guards against requests that are sent on as no two of them are alike.
		@Test
		void requestsWithThePartAreRefusedAfterThreeCrashes() {
			crashes(CRASHING);
			crashes(CRASHING);
			othersAreAnswered();
			assertThat(isSent(CRASHING)).isTrue();
			crashes(CRASHING);
			othersAreAnswered();
			assertThat(isSent(CRASHING)).isFalse();
			assertThat(isSent(SOUND)).isTrue();
		}

		// Guards against sound requests that are refused for the part of another one.
		@Test
		void onlyRequestsWithAllPartsAreRefusedUntilTheyAreToldApart() {
			for (int i = 0; i < 3; i++) {
				crashes(FIRST, CRASHING);
			}
			othersAreAnswered();
			assertThat(isSent(FIRST, CRASHING)).isFalse();
			assertThat(isSent(FIRST, SOUND)).isTrue();
			assertThat(isSent(SOUND, CRASHING)).isTrue();
			answered(FIRST);
			assertThat(isSent(SOUND, CRASHING)).isFalse();
			assertThat(isSent(FIRST)).isTrue();
		}

		// Guards against a part that is taken for sound as it was before it turned bad.
		@Test
		void answerThatBeganBeforeTheCrashesDoesNotClearThePart() {
			answered(CRASHING);
			CrashingFeaturesTests.this.now += SECOND;
			for (int i = 0; i < 3; i++) {
				crashes(CRASHING);
			}
			long sinceBegin = CrashingFeaturesTests.this.now;
			CrashingFeaturesTests.this.features.record(FeatureFact.answered(CRASHING).aged(5_000), sinceBegin);
			othersAreAnswered();
			assertThat(isSent(CRASHING)).isFalse();
		}

		// Guards against a part of many requests that is refused as several endpoints
		// crash at the same moment.
		@Test
		void crashesAtTheSameMomentCountOnce() {
			for (int i = 0; i < 5; i++) {
				crashes(SOUND);
				CrashingFeaturesTests.this.now -= SECOND;
			}
			CrashingFeaturesTests.this.now += SECOND;
			othersAreAnswered();
			assertThat(isSent(SOUND)).isTrue();
		}

		// Guards against a part of all requests that is refused as nothing is answered at
		// all.
		@Test
		void partIsNotBlockedWhileThePoolAnswersNothing() {
			for (int i = 0; i < 3; i++) {
				crashes(SOUND);
			}
			CrashingFeaturesTests.this.now += 2 * SECOND;
			assertThat(isSent(SOUND)).isTrue();
		}

		// Guards against a block of a sound part that outlives the proof.
		@Test
		void answerEndsABlock() {
			CrashingFeaturesTests.this.features.record(FeatureFact.blocked(SOUND), CrashingFeaturesTests.this.now);
			assertThat(isSent(SOUND)).isFalse();
			CrashingFeaturesTests.this.now += SECOND;
			answered(SOUND);
			assertThat(isSent(SOUND)).isTrue();
			FeatureFact late = FeatureFact.blocked(SOUND).aged(1_500);
			CrashingFeaturesTests.this.features.record(late, CrashingFeaturesTests.this.now);
			assertThat(isSent(SOUND)).isTrue();
		}

		// Guards against as many crashes after a block as requests are waiting.
		@Test
		void oneRequestAtATimeIsLetThroughAfterABlock() {
			CrashingFeaturesTests.this.features.record(FeatureFact.blocked(CRASHING), CrashingFeaturesTests.this.now);
			CrashingFeaturesTests.this.now += Suspect.FIRST_BLOCK_NANOS + CrashingFeatures.MAX_STAGGER_NANOS;
			assertThat(isSent(CRASHING)).isTrue();
			CrashingFeaturesTests.this.features.sent(request(1, CRASHING), CrashingFeaturesTests.this.now);
			assertThat(isSent(CRASHING)).isFalse();
			crashes(CRASHING);
			CrashingFeaturesTests.this.now += Suspect.FIRST_BLOCK_NANOS + CrashingFeatures.MAX_STAGGER_NANOS;
			assertThat(isSent(CRASHING)).isFalse();
		}

		// Guards against a block that ends early as a request is sent which was let
		// through before it.
		@Test
		void requestThatIsSentDuringABlockDoesNotShortenIt() {
			CrashingFeaturesTests.this.features.record(FeatureFact.blocked(CRASHING), CrashingFeaturesTests.this.now);
			CrashingFeaturesTests.this.features.sent(request(1, CRASHING), CrashingFeaturesTests.this.now);
			CrashingFeaturesTests.this.now += Suspect.FIRST_BLOCK_NANOS - 1;
			assertThat(isSent(CRASHING)).isFalse();
		}

		// Guards against a sound request that was sent again at several crashes and is
		// taken for their cause in place of a part.
		@Test
		void contentDoesNotExplainTheCrashesOfAPart() {
			for (int i = 0; i < 4; i++) {
				crashes(CRASHING);
				crash(this.endpoint, 600, OTHER);
				CrashingFeaturesTests.this.now -= SECOND;
			}
			isRefused(OTHER);
			crashes(CRASHING);
			othersAreAnswered();
			assertThat(isSent(CRASHING)).isFalse();
		}

	}

	@Nested
	class Bounds {

		// Guards against memory that grows with each crash.
		@Test
		void contentsAndCrashesAreBounded() {
			for (int i = 0; i < 20_000; i++) {
				crash(i, 1_000, i, CULPRIT);
			}
			int suspects = 0;
			for (int i = 0; i < 20_000; i++) {
				suspects += (CrashingFeaturesTests.this.features.crashes(i) > 0) ? 1 : 0;
			}
			assertThat(suspects).isAtMost(4_096);
			CrashingFeaturesTests.this.now += 7_200 * SECOND;
			CrashingFeaturesTests.this.features.expire(CrashingFeaturesTests.this.now);
			assertThat(CrashingFeaturesTests.this.features.isEmpty()).isTrue();
		}

	}

}
