package org.acaciacourse.core.balance;

import java.util.Collections;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * The configuration of request routing: the mechanisms that are off and the parameters
 * that differ from their defaults. Invariants: no mechanism is on without the one that it
 * depends on; all values are within their range.
 * <p>
 * Immutable and thread safe.
 *
 * @param name the name of the policy in logs and metrics
 * @param off the mechanisms that are switched off
 * @param values the values of parameters that are not at their defaults
 * @param optional where the optional mechanisms are in use; nowhere if it is missing
 */
public record RoutingPolicy(String name, Set<RoutingMechanism> off, Map<RoutingParameter, Double> values,
		Map<OptionalMechanism, OptionalSwitch> optional) {

	/**
	 * All mechanisms that aren't optional are on, and all parameters have their default
	 * values.
	 */
	public static final RoutingPolicy DEFAULT = new RoutingPolicy("default", Set.of(), Map.of());

	public RoutingPolicy {
		Objects.requireNonNull(name, "name");
		EnumSet<RoutingMechanism> switchedOff = EnumSet.noneOf(RoutingMechanism.class);
		switchedOff.addAll(off);
		off = Collections.unmodifiableSet(switchedOff);
		EnumMap<RoutingParameter, Double> given = new EnumMap<>(RoutingParameter.class);
		given.putAll(values);
		values = Collections.unmodifiableMap(given);
		EnumMap<OptionalMechanism, OptionalSwitch> switched = new EnumMap<>(OptionalMechanism.class);
		switched.putAll(optional);
		optional = Collections.unmodifiableMap(switched);
		if (!withUnmetDependency(off).isEmpty()) {
			throw new IllegalArgumentException(
					"mechanisms on without the one they depend on: " + withUnmetDependency(off));
		}
		values.forEach((parameter, value) -> {
			if (!parameter.permits(value)) {
				throw new IllegalArgumentException(
						parameter.label() + " must be a number " + parameter.range() + ", got " + value);
			}
		});
	}

	/**
	 * Create a policy that switches no optional mechanism.
	 * @param name the name of the policy in logs and metrics
	 * @param off the mechanisms that are switched off
	 * @param values the values of parameters that are not at their defaults
	 */
	public RoutingPolicy(String name, Set<RoutingMechanism> off, Map<RoutingParameter, Double> values) {
		this(name, off, values, Map.of());
	}

	/**
	 * Find the mechanisms that would be on without the one that they depend on.
	 * @param off the mechanisms that are off
	 * @return those mechanisms
	 */
	static List<RoutingMechanism> withUnmetDependency(Set<RoutingMechanism> off) {
		return EnumSet.allOf(RoutingMechanism.class)
			.stream()
			.filter((mechanism) -> !off.contains(mechanism))
			.filter((mechanism) -> mechanism.dependency().filter(off::contains).isPresent())
			.toList();
	}

	/**
	 * Return whether a mechanism is in use.
	 * @param mechanism the mechanism
	 * @return whether it is on
	 */
	public boolean isOn(RoutingMechanism mechanism) {
		return !this.off.contains(mechanism);
	}

	/**
	 * Return whether an optional mechanism is in use in a pool.
	 * @param mechanism the mechanism
	 * @param paceStated whether endpoints of the pool state how long work takes there
	 * @return whether it is switched on there
	 */
	public boolean isOn(OptionalMechanism mechanism, boolean paceStated) {
		return this.optional.getOrDefault(mechanism, OptionalSwitch.OFF).isOn(paceStated);
	}

	/**
	 * Return the same policy with optional mechanisms on that it does not switch itself.
	 * @param mechanisms the mechanisms
	 * @return the policy
	 */
	public RoutingPolicy withDefaultsOn(Set<OptionalMechanism> mechanisms) {
		Map<OptionalMechanism, OptionalSwitch> all = new EnumMap<>(OptionalMechanism.class);
		mechanisms.forEach((mechanism) -> all.put(mechanism, OptionalSwitch.ON));
		all.putAll(this.optional);
		return new RoutingPolicy(this.name, this.off, this.values, all);
	}

	/**
	 * Return the value of a parameter.
	 * @param parameter the parameter
	 * @return the value, in the parameter's unit
	 */
	public double value(RoutingParameter parameter) {
		Double given = this.values.get(parameter);
		return (given != null) ? given : parameter.defaultValue();
	}

}
