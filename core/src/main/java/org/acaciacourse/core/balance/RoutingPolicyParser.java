package org.acaciacourse.core.balance;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

import io.vavr.control.Either;
import org.acaciacourse.core.ini.IniText;
import org.acaciacourse.core.ini.Problem;

/**
 * Reads a {@link RoutingPolicy} from the section {@value #SECTION} of a settings file:
 * {@code name}, mechanisms as {@code on} or {@code off}, optional ones also as
 * {@code with-stated-pace}, parameters as numbers. Without the section the default policy
 * applies. A policy with any problem is rejected as a whole.
 * <p>
 * Thread safe: it has no state.
 */
public final class RoutingPolicyParser {

	/** The name of the section. */
	public static final String SECTION = "routing-policy";

	private static final String NAME = "name";

	private static final String ON = "on";

	private static final String OFF = "off";

	private final IniText ini;

	private final List<Problem> problems = new ArrayList<>();

	private RoutingPolicyParser(IniText ini) {
		this.ini = ini;
	}

	/**
	 * Read the policy of a settings file.
	 * @param ini the file
	 * @return the policy, or the problems of the section
	 */
	public static Either<List<Problem>, RoutingPolicy> parse(IniText ini) {
		return new RoutingPolicyParser(ini).policy();
	}

	private Either<List<Problem>, RoutingPolicy> policy() {
		SortedMap<String, String> keys = this.ini.sections().getOrDefault(SECTION, new TreeMap<>());
		Set<RoutingMechanism> off = EnumSet.noneOf(RoutingMechanism.class);
		Map<RoutingParameter, Double> values = new EnumMap<>(RoutingParameter.class);
		Map<OptionalMechanism, OptionalSwitch> switched = new EnumMap<>(OptionalMechanism.class);
		String name = RoutingPolicy.DEFAULT.name();
		for (Map.Entry<String, String> entry : keys.entrySet()) {
			Optional<RoutingMechanism> mechanism = RoutingMechanism.ofLabel(entry.getKey());
			Optional<OptionalMechanism> optional = OptionalMechanism.ofLabel(entry.getKey());
			Optional<RoutingParameter> parameter = RoutingParameter.ofLabel(entry.getKey());
			if (mechanism.isPresent()) {
				if (isOff(entry)) {
					off.add(mechanism.get());
				}
			}
			else if (optional.isPresent()) {
				optionalSwitch(entry).ifPresent((value) -> switched.put(optional.get(), value));
			}
			else if (parameter.isPresent()) {
				number(entry, parameter.get()).ifPresent((value) -> values.put(parameter.get(), value));
			}
			else if (entry.getKey().equals(NAME) && !entry.getValue().isEmpty()) {
				name = entry.getValue();
			}
			else {
				addProblem(entry.getKey(),
						(entry.getKey().equals(NAME)) ? "must not be empty" : "unknown mechanism or parameter");
			}
		}
		RoutingPolicy.withUnmetDependency(off)
			.forEach((m) -> addProblem(m.label(), "needs " + m.dependency().orElseThrow().label() + ", which is off"));
		return (this.problems.isEmpty()) ? Either.right(new RoutingPolicy(name, off, values, switched))
				: Either.left(this.problems);
	}

	private boolean isOff(Map.Entry<String, String> entry) {
		if (!entry.getValue().equals(ON) && !entry.getValue().equals(OFF)) {
			addProblem(entry.getKey(), "expected on or off");
		}
		return entry.getValue().equals(OFF);
	}

	private Optional<OptionalSwitch> optionalSwitch(Map.Entry<String, String> entry) {
		Optional<OptionalSwitch> value = OptionalSwitch.ofLabel(entry.getValue());
		if (value.isEmpty()) {
			addProblem(entry.getKey(), "expected on, off or with-stated-pace");
		}
		return value;
	}

	private Optional<Double> number(Map.Entry<String, String> entry, RoutingParameter parameter) {
		try {
			double value = Double.parseDouble(entry.getValue());
			if (parameter.permits(value)) {
				return Optional.of(value);
			}
		}
		catch (NumberFormatException ex) {
			// Reported below, as for a number out of range.
		}
		addProblem(entry.getKey(), "expected a number " + parameter.range());
		return Optional.empty();
	}

	private void addProblem(String key, String text) {
		this.problems.add(new Problem(this.ini.line(SECTION, key), SECTION, key, text));
	}

}
