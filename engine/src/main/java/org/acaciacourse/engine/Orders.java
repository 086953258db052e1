package org.acaciacourse.engine;

import java.util.Set;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Orders to load, unload and change role. An engine that checks refuses a number below
 * the highest seen; one that does not obeys in the order of arrival.
 * <p>
 * Thread safe: all methods are synchronized.
 */
final class Orders {

	private final Set<String> loaded;

	private final boolean checksFencing;

	private long fencing;

	private String role = "serve";

	Orders(Set<String> loaded, boolean checksFencing) {
		this.loaded = new TreeSet<>(loaded);
		this.checksFencing = checksFencing;
	}

	/**
	 * Take an order.
	 * @param order the order
	 * @return whether it was obeyed
	 */
	synchronized boolean take(JsonNode order) {
		long number = order.path("fencing").asLong();
		if (this.checksFencing && number < this.fencing) {
			return false;
		}
		this.fencing = Math.max(this.fencing, number);
		String subject = order.path("subject").asText();
		switch (order.path("order").asText()) {
			case "load" -> this.loaded.add(subject);
			case "unload" -> this.loaded.remove(subject);
			case "role" -> changeRole(subject);
			default -> {
				return false;
			}
		}
		return true;
	}

	private void changeRole(String newRole) {
		this.role = newRole;
	}

	synchronized Set<String> loaded() {
		return Set.copyOf(this.loaded);
	}

	synchronized ObjectNode state() {
		ObjectNode state = JsonNodeFactory.instance.objectNode().put("fencing", this.fencing).put("role", this.role);
		this.loaded.forEach(state.withArray("loaded")::add);
		return state;
	}

}
