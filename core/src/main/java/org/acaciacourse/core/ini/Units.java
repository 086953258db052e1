package org.acaciacourse.core.ini;

import java.math.BigDecimal;
import java.time.Duration;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads values with units as they stand in settings and manifests.
 * <p>
 * Thread safe: it has no state.
 */
public final class Units {

	private static final Pattern DURATION = Pattern.compile("([0-9]{1,9}(?:\\.[0-9]{1,20})?)\\s*(ms|s|min|h)");

	private static final Pattern BYTES = Pattern.compile("([1-9][0-9]{0,8})\\s*(B|KiB|MiB)");

	private static final long NANOS_PER_SECOND = 1_000_000_000L;

	private Units() {
	}

	/**
	 * Read a duration such as {@code 250 ms}, {@code 2 min} or {@code 1.5 s}. Parts of a
	 * nanosecond are cut off.
	 * @param text the text
	 * @return the duration, if the text is one
	 */
	public static Optional<Duration> duration(String text) {
		Matcher matcher = DURATION.matcher(text.strip());
		if (!matcher.matches()) {
			return Optional.empty();
		}
		Duration unit = switch (matcher.group(2)) {
			case "ms" -> Duration.ofMillis(1);
			case "s" -> Duration.ofSeconds(1);
			case "min" -> Duration.ofMinutes(1);
			default -> Duration.ofHours(1);
		};
		BigDecimal nanos = new BigDecimal(matcher.group(1)).multiply(BigDecimal.valueOf(unit.toNanos()));
		BigDecimal[] parts = nanos.divideAndRemainder(BigDecimal.valueOf(NANOS_PER_SECOND));
		return Optional.of(Duration.ofSeconds(parts[0].longValue(), parts[1].longValue()));
	}

	/**
	 * Read a size such as {@code 8 MiB}.
	 * @param text the text
	 * @return the size in bytes, if the text is one
	 */
	public static Optional<Long> bytes(String text) {
		Matcher matcher = BYTES.matcher(text.strip());
		if (!matcher.matches()) {
			return Optional.empty();
		}
		long amount = Long.parseLong(matcher.group(1));
		long size = switch (matcher.group(2)) {
			case "B" -> amount;
			case "KiB" -> amount << 10;
			default -> amount << 20;
		};
		return Optional.of(size);
	}

}
