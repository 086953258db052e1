package org.acaciacourse.engine;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The faults that are switched on; all off at the start.
 * <p>
 * Immutable and thread safe.
 *
 * @param slow the factor on every step
 * @param lateMillis how long an answer is held back after it was computed
 * @param freezeLoad whether the load report no longer changes
 * @param crashMarker the text whose run halts the process, empty for none
 * @param truncate whether answers stop in the middle and their connection closes
 * @param swap whether an answer carries the id and the text of the request before it
 */
record Faults(double slow, int lateMillis, boolean freezeLoad, String crashMarker, boolean truncate, boolean swap) {

	static Faults crashOnly(String crashMarker) {
		return new Faults(1, 0, false, crashMarker, false, false);
	}

	static Faults of(JsonNode json) {
		return new Faults(json.path("slow").asDouble(1), json.path("late_ms").asInt(0),
				json.path("freeze_load").asBoolean(false), json.path("crash_marker").asText(""),
				json.path("truncate").asBoolean(false), json.path("swap").asBoolean(false));
	}

	boolean crashes(String content) {
		return !this.crashMarker.isEmpty() && content.contains(this.crashMarker);
	}

}
