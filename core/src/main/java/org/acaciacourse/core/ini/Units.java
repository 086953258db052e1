package org.acaciacourse.core.ini;

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

	private static final Pattern DURATION = Pattern.compile("([0-9]{1,9})\\s*(ms|s|min|h)");

	private static final Pattern BYTES = Pattern.compile("([1-9][0-9]{0,8})\\s*(B|KiB|MiB)");

	private Units() {
	}

	/**
	 * Read a duration such as {@code 250 ms} or {@code 2 min}.
	 * @param text the text
	 * @return the duration, if the text is one
	 */
	public static Optional<Duration> duration(String text) {
		Matcher matcher = DURATION.matcher(text.strip());
		if (!matcher.matches()) {
			return Optional.empty();
		}
		long amount = Long.parseLong(matcher.group(1));
		Duration duration = switch (matcher.group(2)) {
			case "ms" -> Duration.ofMillis(amount);
			case "s" -> Duration.ofSeconds(amount);
			case "min" -> Duration.ofMinutes(amount);
			default -> Duration.ofHours(amount);
		};
		return Optional.of(duration);
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
