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
 * Text in INI format with the line number of each section and key. ini4j parses the text
 * but does not report line numbers to its handler, so a separate pass over the text
 * determines them.
 * <p>
 * Immutable after construction and thread safe.
 */
public final class IniText {

	/** The maximum number of lines. */
	public static final int MAX_LINES = 200_000;

	/** The maximum length of a line in characters. */
	public static final int MAX_LINE = 16_384;

	private final SortedMap<String, SortedMap<String, String>> sections = new TreeMap<>();

	private final Map<String, Integer> lines = new HashMap<>();

	private final List<Problem> problems = new ArrayList<>();

	/**
	 * Parse a text.
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
	 * Return the problems of the syntax: lines that are neither a section nor a key,
	 * duplicate sections or keys, and exceeded limits.
	 * @return the problems
	 */
	public List<Problem> problems() {
		return List.copyOf(this.problems);
	}

	/**
	 * Return the line number of a key.
	 * @param section the section
	 * @param key the key, empty for the section itself
	 * @return the line number, from 1; that of the section if the key is absent; 0 if
	 * neither exists
	 */
	public int line(String section, String key) {
		Integer keyLine = this.lines.get(section + '\n' + key);
		return (keyLine != null) ? keyLine : this.lines.getOrDefault(section + '\n', 0);
	}

	private boolean indexLines(String text) {
		List<String> textLines = text.lines().toList();
		// The text after the last line break counts as a line, even if it is empty.
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
		// ini4j also accepts a colon as separator and would silently cut the key there.
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
			this.problems.add(new Problem(number, section, key, "already defined in line " + firstLine));
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
			throw new IllegalStateException("reading a string in memory cannot fail", ex);
		}
	}

	/** Collects the sections and keys that the parser reports. */
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
