package org.acaciacourse.core.ini;

import java.util.ArrayList;
import java.util.List;

/**
 * Lists whose items stand between commas, with blanks around them or not. Written without
 * regular expressions, as headers of each answer hold such lists.
 * <p>
 * Thread safe: it has no state.
 */
public final class CommaList {

	private CommaList() {
	}

	/**
	 * Take a list apart.
	 * @param text the items
	 * @return the items without the blanks around them; those at the end that are empty
	 * are left out
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
