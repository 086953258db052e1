package org.acaciacourse.core.ini;

import java.util.Objects;

/**
 * One thing that is wrong in a settings file or a manifest.
 * <p>
 * Immutable and thread safe.
 *
 * @param line the line, from 1; 0 if it belongs to no line
 * @param section the section, empty if there is none
 * @param key the key, empty if the section as a whole is meant
 * @param text what is wrong
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
