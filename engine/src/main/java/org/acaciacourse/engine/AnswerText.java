package org.acaciacourse.engine;

import java.util.AbstractList;
import java.util.List;
import java.util.OptionalInt;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Makes the tokens of an answer: the caller's message word by word, then filler up to the
 * length asked for. The same message always yields the same tokens.
 * <p>
 * Thread safe: it has no state.
 */
final class AnswerText {

	private static final Pattern LENGTH = Pattern.compile("\\[tokens=([0-9]{1,6})]");

	private AnswerText() {
	}

	/**
	 * Return the tokens of an answer.
	 * @param message the caller's last message
	 * @param maxTokens the length asked for; a marker {@code [tokens=N]} in the message
	 * goes first
	 * @return the tokens, at least one
	 */
	static List<String> tokens(String message, OptionalInt maxTokens) {
		List<String> words = List.of(message.split("(?<=\\s)(?=\\S)"));
		Matcher marker = LENGTH.matcher(message);
		int length = (marker.find()) ? Integer.parseInt(marker.group(1)) : maxTokens.orElse(words.size());
		length = Math.max(1, length);
		if (length <= words.size()) {
			return words.subList(0, length);
		}
		return new PaddedWords(words, length);
	}

	/** Words followed by filler that is made when it is read. */
	private static final class PaddedWords extends AbstractList<String> {

		private final List<String> words;

		private final int length;

		private PaddedWords(List<String> words, int length) {
			this.words = words;
			this.length = length;
		}

		@Override
		public String get(int index) {
			return (index < this.words.size()) ? this.words.get(index) : " t" + index;
		}

		@Override
		public int size() {
			return this.length;
		}

	}

}
