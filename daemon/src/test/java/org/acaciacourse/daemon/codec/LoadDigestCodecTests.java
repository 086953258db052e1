package org.acaciacourse.daemon.codec;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Random;

import org.acaciacourse.core.balance.LoadDigest;
import org.acaciacourse.core.balance.PartUse;
import org.acaciacourse.core.balance.PeerLoads;
import org.acaciacourse.core.balance.PromptShape;
import org.acaciacourse.core.balance.RateLimits;
import org.acaciacourse.core.crash.FeatureFact;
import org.acaciacourse.core.share.CustomerWork;
import org.acaciacourse.core.share.CustomerWorks;
import org.acaciacourse.core.speed.SpeedStatement;
import org.acaciacourse.protocol.generated.CustomerWorkRecord;
import org.acaciacourse.protocol.generated.EndpointLoadRecord;
import org.acaciacourse.protocol.generated.FeatureFactRecord;
import org.acaciacourse.protocol.generated.LoadDigestRecord;
import org.acaciacourse.protocol.generated.OtherCustomersRecord;
import org.acaciacourse.protocol.generated.RateLimitRecord;
import org.acaciacourse.protocol.generated.SpeedRecord;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class LoadDigestCodecTests {

	private static final List<PeerLoads.Load> LOADS = List.of(new PeerLoads.Load(-7, 2, 17_000, 1));

	private static final List<FeatureFact> FACTS = List.of(FeatureFact.crashed(-3, new FeatureFact.Run(-7, 12, 13, 85)),
			FeatureFact.answered(1L << 60).aged(340), FeatureFact.blocked(4));

	private static final List<RateLimits.Statement> LIMITS = List.of(
			new RateLimits.Statement(-7, OptionalDouble.of(1.1), 60),
			new RateLimits.Statement(8, OptionalDouble.empty(), 0));

	private static final CustomerWorks CUSTOMERS = new CustomerWorks(
			List.of(new CustomerWork(-9, 1L << 40), new CustomerWork(9, 1)), 70, 4_000);

	@Test
	void digestSurvivesARoundTrip() {
		LoadDigest view = new LoadDigest(LoadDigest.Kind.VIEW, 1L << 50, 1, 3, 95, LOADS,
				List.of(new PartUse(5, new PromptShape.Part(-1, 13_300))), Map.of(4, 9L, -4, 10L), FACTS, LIMITS,
				CUSTOMERS, List.of(new SpeedStatement(-7, 458, 1_000), new SpeedStatement(8, 5_000, 1)));
		assertThat(LoadDigestCodec.decode(LoadDigestCodec.encode(view)).get().get()).isEqualTo(view);
	}

	// Entry VMs are upgraded one by one; those of the previous release send fewer fields.
	@Test
	void digestOfThePreviousReleaseHoldsOnlyTheSendersLoad() {
		byte[] bytes = ThriftBytes.encode(new LoadDigestRecord(3, List.of(new EndpointLoadRecord(-7, 2, 17_000, 1))));
		assertThat(LoadDigestCodec.decode(bytes).get().get()).isEqualTo(
				new LoadDigest(LoadDigest.Kind.SUMMARY, 3, 0, 1, 1, LOADS, List.of(), Map.of(), List.of(), List.of()));
	}

	/*
	 * A VM of another release may bound speeds differently. The loads of its digest count
	 * nevertheless.
	 */
	@Test
	void speedsOutOfRangeAreIgnored() {
		LoadDigestRecord record = new LoadDigestRecord(3, List.of(new EndpointLoadRecord(-7, 2, 17_000, 1)))
			.setSpeeds(List.of(new SpeedRecord(1, 0, 5), new SpeedRecord(2, -1, 5), new SpeedRecord(3, 5_001, 5),
					new SpeedRecord(4, 1_000, 0), new SpeedRecord(5, 1_000, 1_001), new SpeedRecord(6, 1_000, 7)));
		LoadDigest digest = LoadDigestCodec.decode(ThriftBytes.encode(record)).get().get();
		assertThat(digest.loads()).isEqualTo(LOADS);
		assertThat(digest.speeds()).containsExactly(new SpeedStatement(6, 1_000, 7));
	}

	@Nested
	class Malformed {

		private static LoadDigestRecord validRecord() {
			return new LoadDigestRecord(3, List.of(new EndpointLoadRecord(1, 1, 1, 0)));
		}

		private void assertDecodingFails(LoadDigestRecord record) {
			assertThat(LoadDigestCodec.decode(ThriftBytes.encode(record)).isFailure()).isTrue();
		}

		@Test
		void outOfRangeValuesAreRejected() {
			assertDecodingFails(validRecord().setKind(3));
			assertDecodingFails(validRecord().setKind(-1));
			assertDecodingFails(validRecord().setPart(1));
			assertDecodingFails(validRecord().setPart(-1).setParts(2));
			assertDecodingFails(validRecord().setParts(0));
			assertDecodingFails(validRecord().setParts(1_000_000));
			assertDecodingFails(validRecord().setVms(0));
			assertDecodingFails(new LoadDigestRecord(3, List.of(new EndpointLoadRecord(1, -1, 1, 0))));
			assertDecodingFails(new LoadDigestRecord(3, List.of(new EndpointLoadRecord(1, 1, -1, 0))));
			assertDecodingFails(new LoadDigestRecord(3, List.of(new EndpointLoadRecord(1, 1, 1, -1))));
			assertDecodingFails(validRecord().setLimits(List.of(new RateLimitRecord(1, -1))));
			assertDecodingFails(validRecord().setLimits(List.of(new RateLimitRecord(1, 0).setPerSecond(-1))));
			assertDecodingFails(validRecord().setLimits(List.of(new RateLimitRecord(1, 0).setPerSecond(Double.NaN))));
			assertDecodingFails(validRecord().setCustomers(List.of(new CustomerWorkRecord(1, -1))));
			assertDecodingFails(validRecord().setOtherCustomers(new OtherCustomersRecord(-1, 0)));
			assertDecodingFails(validRecord().setOtherCustomers(new OtherCustomersRecord(0, -1)));
			assertDecodingFails(validRecord().setFacts(List.of(new FeatureFactRecord(3, 1))));
			assertDecodingFails(validRecord().setFacts(List.of(new FeatureFactRecord(0, 1).setPoolSize(0))));
			assertDecodingFails(
					validRecord().setFacts(List.of(new FeatureFactRecord(0, 1).setPoolSize(1).setMillis(-1))));
			assertDecodingFails(validRecord().setFacts(List.of(new FeatureFactRecord(1, 1).setAgeMillis(-1))));
		}

		// Decoding arbitrary bytes returns a digest or a failure and never throws.
		@Test
		void damagedBytesNeverThrow() {
			Random random = new Random(11);
			byte[] bytes = LoadDigestCodec.encode(new LoadDigest(LoadDigest.Kind.VIEW, 7, 0, 1, 9, LOADS,
					List.of(new PartUse(5, new PromptShape.Part(1, 13_300))), Map.of(4, 9L), FACTS, LIMITS)
				.withCustomers(CUSTOMERS));
			for (int i = 0; i < 20_000; i++) {
				byte[] damaged = Arrays.copyOf(bytes, random.nextInt(bytes.length + 1));
				for (int j = 0; j < 3 && damaged.length > 0; j++) {
					damaged[random.nextInt(damaged.length)] = (byte) random.nextInt();
				}
				assertThat(LoadDigestCodec.decode(damaged)).isNotNull();
			}
		}

	}

}
