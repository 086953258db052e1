package org.acaciacourse.core.ini;

import java.util.Objects;

/**
 * A problem in a settings file or a manifest.
 * <p>
 * Immutable and thread safe.
 *
 * @param line the line number, from 1; 0 if no line applies
 * @param section the section, empty if there is none
 * @param key the key, empty if the problem concerns the whole section
 * @param text the description of the problem
 */
public record Problem(int line, String section, String key, String text) {

	public Problem {
		Objects.requireNonNull(section, "section");
		Objects.requireNonNull(key, "key");
		Objects.requireNonNull(text, "text");
	}

	@Override
	public String toString() {
		return "line " + this.line + ": [" + this.section + "] " + this.key + ": " + this.text;
	}

}
