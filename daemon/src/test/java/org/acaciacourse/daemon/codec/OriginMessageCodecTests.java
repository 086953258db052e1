package org.acaciacourse.daemon.codec;

import java.util.Collections;
import java.util.List;
import java.util.Optional;

import org.acaciacourse.core.stream.OriginMessage;
import org.acaciacourse.core.stream.StreamKey;
import org.acaciacourse.core.stream.StreamOrigin;
import org.acaciacourse.protocol.generated.LoadDigestRecord;
import org.acaciacourse.protocol.generated.StreamOriginRecord;
import org.acaciacourse.protocol.generated.StreamOriginsRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

class OriginMessageCodecTests {

	private static final StreamKey KEY = new StreamKey("bank", "r1");

	@ParameterizedTest
	@EnumSource
	void messageSurvivesARoundTrip(OriginMessage.Kind kind) {
		OriginMessage message = new OriginMessage(kind,
				List.of(new OriginMessage.Stream(KEY, Optional.of(new StreamOrigin("pool", Optional.of("v1")))),
						new OriginMessage.Stream(KEY, Optional.of(new StreamOrigin("pool", Optional.empty()))),
						new OriginMessage.Stream(new StreamKey("", "x".repeat(900)), Optional.empty())));
		assertThat(LoadDigestCodec.decode(OriginMessageCodec.encode(message)).get().getLeft()).isEqualTo(message);
	}

	@Test
	void messageFitsIntoAPacket() {
		StreamKey key = new StreamKey("customer-of-some-length", "0123456789abcdef");
		OriginMessage.Stream stream = new OriginMessage.Stream(key,
				Optional.of(new StreamOrigin("pool-of-some-length", Optional.of("v12.34.56"))));
		OriginMessage message = new OriginMessage(OriginMessage.Kind.TELL, Collections.nCopies(10, stream));
		assertThat(OriginMessageCodec.encode(message).length).isLessThan(1_400);
	}

	// Guards against messages that an entry VM of an older release, which does not know
	// their field, takes for the load of the sender.
	@Test
	void datagramWithoutItsOriginsIsNoDigest() {
		assertThat(LoadDigestCodec.decode(ThriftBytes.encode(new LoadDigestRecord())).isFailure()).isTrue();
	}

	// Guards against a datagram of another sender that ends the event loop.
	@ParameterizedTest
	@ValueSource(ints = { -1, 3 })
	void unknownKindIsAFailure(int kind) {
		LoadDigestRecord record = new LoadDigestRecord().setOrigins(new StreamOriginsRecord(kind, List.of()));
		assertThat(LoadDigestCodec.decode(ThriftBytes.encode(record)).isFailure()).isTrue();
	}

	@Test
	void streamWithoutANameIsAFailure() {
		LoadDigestRecord record = new LoadDigestRecord()
			.setOrigins(new StreamOriginsRecord(0, List.of(new StreamOriginRecord())));
		assertThat(LoadDigestCodec.decode(ThriftBytes.encode(record)).isFailure()).isTrue();
	}

}
