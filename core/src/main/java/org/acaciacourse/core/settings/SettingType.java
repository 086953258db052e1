package org.acaciacourse.core.settings;

import java.util.Optional;
import java.util.regex.Pattern;

/**
 * The types of settings, each with the format of its values.
 * <p>
 * Immutable and thread safe.
 */
public enum SettingType {

	/** Any text. */
	TEXT("text", ".*"),

	/** Text that is never printed. */
	SECRET("secret", ".{6,}"),

	/** A path of a file or folder. */
	PATH("path", ".*"),

	/** An IP address and a port. */
	ADDRESS("IP:PORT", SettingType.ADDRESS_PATTERN),

	/** IP addresses and ports, separated by commas. */
	ADDRESS_LIST("IP:PORT, ...", SettingType.ADDRESS_PATTERN + "(\\s*,\\s*" + SettingType.ADDRESS_PATTERN + ")*"),

	/** A whole number, at least 1. */
	COUNT("number from 1", "[1-9][0-9]{0,8}"),

	/** A boolean. */
	FLAG("true or false", "true|false"),

	/** A number with a unit of time. */
	DURATION("number with ms, s, min or h", "[0-9]{1,9}\\s*(ms|s|min|h)"),

	/** A number with a unit of size. */
	BYTES("number with B, KiB or MiB", "[1-9][0-9]{0,8}\\s*(B|KiB|MiB)");

	private static final String ADDRESS_PATTERN = "([0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:]+\\]):[0-9]{1,5}";

	private final String format;

	private final Pattern pattern;

	SettingType(String format, String pattern) {
		this.format = format;
		this.pattern = Pattern.compile(pattern);
	}

	/**
	 * Validate a value.
	 * @param text the value
	 * @return the problem, empty if the value is valid
	 */
	public Optional<String> problemOf(String text) {
		if (this.pattern.matcher(text).matches()) {
			return Optional.empty();
		}
		return Optional.of("expected " + this.format);
	}

	/**
	 * Return the format of values, in words for operators.
	 * @return the format
	 */
	public String format() {
		return this.format;
	}

}
