package org.acaciacourse.core.ini;

import java.io.IOException;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

import org.ini4j.Config;
import org.ini4j.InvalidFileFormatException;
import org.ini4j.spi.IniHandler;
import org.ini4j.spi.IniParser;

/**
 * Text in INI form with the line of each section and key. ini4j reads the text; it does
 * not tell lines to its handler, so that a scan of the same text finds them.
 * <p>
 * Immutable after construction and thread safe.
 */
public final class IniText {

	/** The most lines that are read. */
	public static final int MAX_LINES = 200_000;

	/** The longest line that is read, in characters. */
	public static final int MAX_LINE = 16_384;

	private final SortedMap<String, SortedMap<String, String>> sections = new TreeMap<>();

	private final Map<String, Integer> lines = new HashMap<>();

	private final List<Problem> problems = new ArrayList<>();

	/**
	 * Read a text.
	 * @param text the text
	 */
	public IniText(String text) {
		if (indexLines(text)) {
			parse(text);
		}
	}

	/**
	 * Return the keys and values of each section.
	 * @return the sections
	 */
	public SortedMap<String, SortedMap<String, String>> sections() {
		return this.sections;
	}

	/**
	 * Return what is wrong with the form of the text: lines that are neither section nor
	 * key, and sections or keys that stand twice.
	 * @return the problems
	 */
	public List<Problem> problems() {
		return List.copyOf(this.problems);
	}

	/**
	 * Return where a key stands.
	 * @param section the section
	 * @param key the key, empty for the section itself
	 * @return the line from 1; the line of the section if the key is absent; 0 if neither
	 * is there
	 */
	public int line(String section, String key) {
		Integer keyLine = this.lines.get(section + '\n' + key);
		return (keyLine != null) ? keyLine : this.lines.getOrDefault(section + '\n', 0);
	}

	private boolean indexLines(String text) {
		List<String> textLines = text.lines().toList();
		// What follows the last line break is a line too, though it may be empty.
		int trailing = (text.endsWith("\n") || text.endsWith("\r")) ? 1 : 0;
		if (textLines.size() + trailing > MAX_LINES) {
			this.problems.add(new Problem(MAX_LINES, "", "", "more than " + MAX_LINES + " lines"));
			return false;
		}
		String section = "";
		for (int i = 0; i < textLines.size(); i++) {
			if (textLines.get(i).length() > MAX_LINE) {
				this.problems.add(new Problem(i + 1, section, "", "line longer than " + MAX_LINE + " characters"));
				return false;
			}
			section = indexLine(textLines.get(i).strip(), section, i + 1);
		}
		return this.problems.isEmpty();
	}

	private String indexLine(String line, String section, int number) {
		if (line.isEmpty() || line.charAt(0) == '#' || line.charAt(0) == ';') {
			return section;
		}
		if (line.charAt(0) == '[') {
			String name = (line.endsWith("]")) ? line.substring(1, line.length() - 1).strip() : "";
			if (name.isEmpty()) {
				this.problems.add(new Problem(number, "", "", "section is not closed or has no name"));
			}
			recordLine(name, "", number);
			return name;
		}
		int equals = line.indexOf('=');
		int colon = line.indexOf(':');
		// ini4j takes a colon for an equals sign too: a key would be cut there unnoticed.
		boolean colonInKey = colon >= 0 && colon < equals;
		if (equals <= 0 || colonInKey || section.isEmpty()) {
			this.problems.add(new Problem(number, section, "", "expected [section] or key = value"));
			return section;
		}
		recordLine(section, line.substring(0, equals).strip(), number);
		return section;
	}

	private void recordLine(String section, String key, int number) {
		Integer firstLine = this.lines.putIfAbsent(section + '\n' + key, number);
		if (firstLine != null) {
			this.problems.add(new Problem(number, section, key, "stands already in line " + firstLine));
		}
	}

	private void parse(String text) {
		Config config = new Config();
		config.setEscape(false);
		config.setMultiOption(false);
		config.setMultiSection(false);
		config.setGlobalSection(false);
		config.setEmptyOption(false);
		config.setInclude(false);
		config.setPathSeparator('\0');
		try {
			IniParser.newInstance(config).parse(new StringReader(text), new SectionCollector());
		}
		catch (InvalidFileFormatException ex) {
			this.problems.add(new Problem(0, "", "", ex.getMessage()));
		}
		catch (IOException ex) {
			throw new IllegalStateException("a text in memory cannot fail to be read", ex);
		}
	}

	/** Gathers what the parser finds. */
	private final class SectionCollector implements IniHandler {

		private SortedMap<String, String> keys;

		@Override
		public void startIni() {
		}

		@Override
		public void endIni() {
		}

		@Override
		public void startSection(String name) {
			this.keys = new TreeMap<>();
			IniText.this.sections.put(name.strip(), this.keys);
		}

		@Override
		public void endSection() {
		}

		@Override
		public void handleOption(String name, String value) {
			this.keys.put(name, (value != null) ? value.strip() : "");
		}

		@Override
		public void handleComment(String text) {
		}

	}

}
