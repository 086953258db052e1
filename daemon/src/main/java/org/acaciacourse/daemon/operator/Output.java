package org.acaciacourse.daemon.operator;

import java.io.PrintStream;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.acaciacourse.core.code.ResultCode;

/**
 * Prints the results of commands, as text or as a single JSON object.
 * <p>
 * Not thread safe.
 */
final class Output {

	private final ObjectMapper mapper = new ObjectMapper();

	private final boolean json;

	private final PrintStream out;

	Output(boolean json, PrintStream out) {
		this.json = json;
		this.out = out;
	}

	ObjectNode object(ResultCode code) {
		return this.mapper.createObjectNode().put("code", code.number()).put("text", code.text());
	}

	/**
	 * Print a result.
	 * @param code its code
	 * @param object the result as an object
	 * @param text the result as text
	 * @return the code
	 */
	ResultCode print(ResultCode code, ObjectNode object, String text) {
		if (this.json) {
			this.out.println(object);
		}
		else {
			this.out.print(text);
		}
		return code;
	}

	/**
	 * Print a failure.
	 * @param code its code
	 * @param detail what went wrong
	 * @return the code
	 */
	ResultCode fail(ResultCode code, String detail) {
		if (this.json) {
			this.out.println(object(code).put("detail", detail));
		}
		else {
			System.err.println(code.number() + " " + ((detail.isEmpty()) ? code.text() : detail));
		}
		return code;
	}

}
