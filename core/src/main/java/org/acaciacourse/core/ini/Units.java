package org.acaciacourse.core.ini;

import java.math.BigDecimal;
import java.time.Duration;
import java.util.Optional;

/**
 * Parses the values with units in settings and manifests.
 * <p>
 * Thread safe: stateless.
 */
public final class Units {

	private static final int MAX_DIGITS = 9;

	private static final int MAX_DECIMALS = 20;

	private static final int MAX_EXPONENT_DIGITS = 2;

	private static final int MAX_SIZE_DIGITS = 9;

	private Units() {
	}

	/**
	 * Parse a duration such as {@code 250 ms}, {@code 2 min} or {@code 1.5 s}. Fractions
	 * of a nanosecond are truncated.
	 * @param text the text
	 * @return the duration, empty if the text is not one
	 */
	public static Optional<Duration> duration(String text) {
		TextCursor cursor = new TextCursor(text.strip());
		String whole = cursor.digits(MAX_DIGITS);
		boolean hasPoint = cursor.consume(".");
		String fraction = (hasPoint) ? cursor.digits(MAX_DECIMALS) : "";
		cursor.skipWhitespace();
		Optional<Duration> unit = unit(cursor.remaining());
		if (whole.isEmpty() || fraction.isEmpty() == hasPoint || unit.isEmpty()) {
			return Optional.empty();
		}
		Duration duration = unit.get().multipliedBy(Long.parseLong(whole));
		return Optional.of((hasPoint) ? duration.plusNanos(fractionNanos(unit.get(), fraction)) : duration);
	}

	private static Optional<Duration> unit(String name) {
		return switch (name) {
			case "ms" -> Optional.of(Duration.ofMillis(1));
			case "s" -> Optional.of(Duration.ofSeconds(1));
			case "min" -> Optional.of(Duration.ofMinutes(1));
			case "h" -> Optional.of(Duration.ofHours(1));
			default -> Optional.empty();
		};
	}

	private static long fractionNanos(Duration unit, String decimals) {
		return new BigDecimal("0." + decimals).multiply(BigDecimal.valueOf(unit.toNanos())).longValue();
	}

	/**
	 * Return whether a text is a decimal number with up to nine digits before the point
	 * and twenty after it, with or without an exponent.
	 * @param text the text
	 * @return whether it is such a number
	 */
	public static boolean isDecimal(String text) {
		TextCursor cursor = new TextCursor(text);
		boolean valid = !cursor.digits(MAX_DIGITS).isEmpty();
		if (cursor.consume(".")) {
			valid &= !cursor.digits(MAX_DECIMALS).isEmpty();
		}
		if (cursor.consume("eE")) {
			cursor.consume("+-");
			valid &= !cursor.digits(MAX_EXPONENT_DIGITS).isEmpty();
		}
		return valid && cursor.remaining().isEmpty();
	}

	/**
	 * Parse a size such as {@code 8 MiB}.
	 * @param text the text
	 * @return the size in bytes, empty if the text is not a size
	 */
	public static Optional<Long> bytes(String text) {
		TextCursor cursor = new TextCursor(text.strip());
		String digits = cursor.digits(MAX_SIZE_DIGITS);
		cursor.skipWhitespace();
		if (digits.isEmpty() || digits.charAt(0) == '0') {
			return Optional.empty();
		}
		long amount = Long.parseLong(digits);
		return switch (cursor.remaining()) {
			case "B" -> Optional.of(amount);
			case "KiB" -> Optional.of(amount << 10);
			case "MiB" -> Optional.of(amount << 20);
			default -> Optional.empty();
		};
	}

}
