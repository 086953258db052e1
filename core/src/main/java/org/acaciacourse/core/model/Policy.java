package org.acaciacourse.core.model;

import java.util.Map;
import java.util.Objects;

/**
 * A policy with its parameters.
 * <p>
 * Immutable and thread safe.
 *
 * @param name the unique name
 * @param kind the kind of policy
 * @param parameters the numeric parameters by name; missing ones take their default
 */
public record Policy(String name, PolicyKind kind, Map<String, Double> parameters) {

	public Policy {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(kind, "kind");
		parameters = Map.copyOf(parameters);
	}

	/**
	 * Return a parameter.
	 * @param parameter the name of the parameter
	 * @param defaultValue the value to use if the manifest does not set the parameter
	 * @return the value
	 */
	public double parameter(String parameter, double defaultValue) {
		return this.parameters.getOrDefault(parameter, defaultValue);
	}

}
