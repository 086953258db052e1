package org.acaciacourse.core.ini;

import java.util.ArrayList;
import java.util.List;

/**
 * Lists of items separated by commas, with optional whitespace. Avoids regular
 * expressions, because the headers of every response contain such lists.
 * <p>
 * Thread safe: stateless.
 */
public final class CommaList {

	private CommaList() {
	}

	/**
	 * Split a list.
	 * @param text the items
	 * @return the items without surrounding whitespace; empty items at the end are
	 * dropped
	 */
	public static List<String> split(String text) {
		List<String> items = new ArrayList<>();
		int start = 0;
		for (int comma = text.indexOf(','); comma >= 0; comma = text.indexOf(',', start)) {
			items.add(text.substring(start, comma).strip());
			start = comma + 1;
		}
		items.add(text.substring(start).strip());
		while (!items.isEmpty() && items.get(items.size() - 1).isEmpty()) {
			items.remove(items.size() - 1);
		}
		return items;
	}

}
