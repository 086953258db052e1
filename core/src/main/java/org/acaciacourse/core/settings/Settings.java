package org.acaciacourse.core.settings;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.stream.Collectors;

import io.vavr.control.Either;
import org.acaciacourse.core.ini.IniText;
import org.acaciacourse.core.ini.Problem;
import org.acaciacourse.core.ini.Units;

/**
 * The validated settings of a process.
 * <p>
 * Immutable and thread safe.
 */
public final class Settings {

	private static final int MIN_INNER_KEY_LENGTH = 16;

	private final Map<SettingKey, String> values;

	private Settings(Map<SettingKey, String> values) {
		this.values = values;
	}

	/**
	 * Parse and validate a settings file. All problems are reported together.
	 * @param text the text of the file
	 * @param sections the sections that the process needs
	 * @return the settings, or all problems found
	 */
	public static Either<List<Problem>, Settings> parse(String text, Set<String> sections) {
		IniText ini = new IniText(text);
		List<Problem> problems = new ArrayList<>(ini.problems());
		Map<SettingKey, String> values = new EnumMap<>(SettingKey.class);
		ini.sections().forEach((section, keys) -> keys.forEach((key, value) -> {
			Optional<SettingKey> setting = SettingKey.of(section, key);
			if (setting.isEmpty()) {
				problems.add(new Problem(ini.line(section, key), section, key, "unknown setting"));
				return;
			}
			Optional<String> problem = setting.get().type().problemOf(value);
			problem.ifPresent((p) -> problems.add(new Problem(ini.line(section, key), section, key, p)));
			values.put(setting.get(), value);
		}));
		for (SettingKey setting : SettingKey.values()) {
			if (!values.containsKey(setting)) {
				applyDefault(setting, ini, sections, values, problems);
			}
		}
		if (problems.isEmpty()) {
			checkCombinations(ini, values, problems);
		}
		return (problems.isEmpty()) ? Either.right(new Settings(values)) : Either.left(List.copyOf(problems));
	}

	/**
	 * Return the known sections of a file, to validate it without knowing which process
	 * it is for.
	 * @param text the text of the file
	 * @return the sections that the file has and that are known
	 */
	public static Set<String> sectionsOf(String text) {
		SortedMap<String, SortedMap<String, String>> sections = new IniText(text).sections();
		return Arrays.stream(SettingKey.values())
			.map(SettingKey::section)
			.filter(sections::containsKey)
			.collect(Collectors.toUnmodifiableSet());
	}

	private static void applyDefault(SettingKey setting, IniText ini, Set<String> sections,
			Map<SettingKey, String> values, List<Problem> problems) {
		if (setting.defaultText().isPresent()) {
			values.put(setting, setting.defaultText().get());
		}
		else if (sections.contains(setting.section())) {
			int line = ini.line(setting.section(), "");
			problems.add(new Problem(line, setting.section(), setting.key(), "missing, has no default"));
		}
	}

	private static void checkCombinations(IniText ini, Map<SettingKey, String> values, List<Problem> problems) {
		boolean certificate = !values.get(SettingKey.ENTRY_TLS_CERTIFICATE).isEmpty();
		boolean key = !values.get(SettingKey.ENTRY_TLS_KEY).isEmpty();
		if (certificate != key) {
			problems.add(problem(ini, SettingKey.ENTRY_TLS_CERTIFICATE, "must be set together with tls-key"));
		}
		String inner = values.get(SettingKey.INNER_KEY);
		if (inner != null && inner.length() < MIN_INNER_KEY_LENGTH) {
			problems
				.add(problem(ini, SettingKey.INNER_KEY, "must have at least " + MIN_INNER_KEY_LENGTH + " characters"));
		}
		if (!Set.of("otlp", "log", "none").contains(values.get(SettingKey.TRACES_EXPORTER))) {
			problems.add(problem(ini, SettingKey.TRACES_EXPORTER, "expected otlp, log or none"));
		}
		for (SettingKey setting : SettingKey.values()) {
			String text = values.get(setting);
			boolean address = setting.type() == SettingType.ADDRESS || setting.type() == SettingType.ADDRESS_LIST;
			if (address && text != null && !arePortsInRange(text)) {
				problems.add(problem(ini, setting, "port above 65535"));
			}
		}
	}

	private static boolean arePortsInRange(String text) {
		return Arrays.stream(text.split(",")).map(String::strip).allMatch((a) -> portOf(a) <= 65535);
	}

	private static int portOf(String address) {
		return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
	}

	private static Problem problem(IniText ini, SettingKey setting, String text) {
		return new Problem(ini.line(setting.section(), setting.key()), setting.section(), setting.key(), text);
	}

	/**
	 * Return a value as text.
	 * @param key the setting
	 * @return the text
	 */
	public String text(SettingKey key) {
		String value = this.values.get(key);
		if (value == null) {
			throw new IllegalStateException(
					"section [" + key.section() + "] was not requested when the settings were parsed");
		}
		return value;
	}

	/**
	 * Return a value if it is not empty.
	 * @param key the setting
	 * @return the text, if there is one
	 */
	public Optional<String> optionalText(SettingKey key) {
		return Optional.of(text(key)).filter((text) -> !text.isEmpty());
	}

	/**
	 * Return a whole number.
	 * @param key the setting, a count
	 * @return the number
	 */
	public int count(SettingKey key) {
		return Integer.parseInt(text(key));
	}

	/**
	 * Return a boolean.
	 * @param key the setting, a flag
	 * @return whether it is set to true
	 */
	public boolean flag(SettingKey key) {
		return Boolean.parseBoolean(text(key));
	}

	/**
	 * Return a duration.
	 * @param key the setting, a duration
	 * @return the duration
	 */
	public Duration duration(SettingKey key) {
		return Units.duration(text(key)).orElseThrow();
	}

	/**
	 * Return a size.
	 * @param key the setting, a size
	 * @return the size in bytes
	 */
	public long bytes(SettingKey key) {
		return Units.bytes(text(key)).orElseThrow();
	}

	/**
	 * Return an address.
	 * @param key the setting, an address
	 * @return the address
	 */
	public InetSocketAddress address(SettingKey key) {
		return addressOf(text(key));
	}

	/**
	 * Return addresses.
	 * @param key the setting, a list of addresses
	 * @return the addresses in their order
	 */
	public List<InetSocketAddress> addresses(SettingKey key) {
		return Arrays.stream(text(key).split(",")).map(String::strip).map(Settings::addressOf).toList();
	}

	private static InetSocketAddress addressOf(String text) {
		try {
			String host = text.substring(0, text.lastIndexOf(':'));
			return new InetSocketAddress(InetAddress.getByName(host), portOf(text));
		}
		catch (UnknownHostException ex) {
			throw new IllegalStateException("an IP address literal needs no lookup", ex);
		}
	}

}
