package org.acaciacourse.core.ini;

import java.time.Duration;
import java.util.Optional;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

class UnitsTests {

	@ParameterizedTest
	@CsvSource({ "250 ms, 250000000", "2 min, 120000000000", "1.5 s, 1500000000", "0.3333333333333333 s, 333333333",
			"1h, 3600000000000", "0 s, 0", "2.0000000001 s, 2000000000" })
	void durationsMayHaveFractions(String text, long nanos) {
		assertThat(Units.duration(text)).isEqualTo(Optional.of(Duration.ofNanos(nanos)));
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "s", "soon", "-1 s", "1. s", ".5 s", "1,5 s", "1 d", "1e3 s", "1234567890 s" })
	void otherTextsAreNotDurations(String text) {
		assertThat(Units.duration(text)).isEqualTo(Optional.empty());
	}

	@ParameterizedTest
	@ValueSource(strings = { "0", "58", "0.2", "0.30000000000000004", "1e-05", "2.5E+3", "123456789" })
	void decimalNumbersMayHaveExponents(String text) {
		assertThat(Units.isDecimal(text)).isTrue();
	}

	@ParameterizedTest
	@ValueSource(strings = { "", ".5", "1.", "1,5", "-1", "1e", "1e123", "1234567890", "0x1p3", "NaN", "1 " })
	void otherTextsAreNotDecimalNumbers(String text) {
		assertThat(Units.isDecimal(text)).isFalse();
	}

	@ParameterizedTest
	@CsvSource({ "8 MiB, 8388608", "4KiB, 4096", "1 B, 1" })
	void sizesAreWhole(String text, long bytes) {
		assertThat(Units.bytes(text)).isEqualTo(Optional.of(bytes));
		assertThat(Units.bytes("1.5 MiB")).isEqualTo(Optional.empty());
	}

}
