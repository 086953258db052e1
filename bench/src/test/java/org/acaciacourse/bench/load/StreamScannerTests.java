package org.acaciacourse.bench.load;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link StreamScanner}.
 */
class StreamScannerTests {

	private static final byte[] STREAM = "id: 0\ndata: {\"a\":\"data: {\"}\n\n: comment\n\nid: 1\ndata: {}\n\ndata: [DONE]\n\n"
		.getBytes(StandardCharsets.UTF_8);

	@Nested
	class Scan {

		@Test
		void countsTokensWhereverTheBytesAreSplit() {
			for (int split = 0; split <= STREAM.length; split++) {
				StreamScanner scanner = new StreamScanner();
				int first = scanner.scan(Arrays.copyOfRange(STREAM, 0, split));
				int second = scanner.scan(Arrays.copyOfRange(STREAM, split, STREAM.length));
				assertThat(first + second).isEqualTo(2);
				assertThat(scanner.hasEnded()).isTrue();
			}
		}

	}

}
