package org.acaciacourse.core.balance;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.vavr.control.Either;
import io.vavr.control.Try;
import org.acaciacourse.core.ini.IniText;
import org.acaciacourse.core.ini.Problem;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link RoutingPolicyParser} and {@link RoutingPolicy}.
 */
class RoutingPolicyParserTests {

	private static Either<List<Problem>, RoutingPolicy> parse(String... lines) {
		return RoutingPolicyParser
			.parse(new IniText("[other]\nkey = value\n[routing-policy]\n" + String.join("\n", lines) + "\n"));
	}

	private static List<String> problems(String... lines) {
		return parse(lines).getLeft().stream().map(Problem::toString).toList();
	}

	@Test
	void fileWithoutTheSectionGivesTheDefault() {
		assertThat(RoutingPolicyParser.parse(new IniText("[platform]\nname = a\n")).get())
			.isEqualTo(RoutingPolicy.DEFAULT);
	}

	@Test
	void omittedKeysKeepTheirDefaults() {
		RoutingPolicy policy = parse("name = trial", "pauses = off", "suspects = on", "anew-factor = 3.5").get();
		assertThat(policy).isEqualTo(
				new RoutingPolicy("trial", Set.of(RoutingMechanism.PAUSES), Map.of(RoutingParameter.ANEW_FACTOR, 3.5)));
		assertThat(policy.isOn(RoutingMechanism.PAUSES)).isFalse();
		assertThat(policy.isOn(RoutingMechanism.SUSPECTS)).isTrue();
		assertThat(policy.value(RoutingParameter.ANEW_FACTOR)).isEqualTo(3.5);
		assertThat(policy.value(RoutingParameter.WAITING_COST)).isEqualTo(4_000.0);
	}

	@Test
	void problemsAreReportedTogetherWithLineKeyAndRange() {
		assertThat(problems("name = trial", "paces = off", "pauses = no", "anew-factor = 0.5", "calm-work = many"))
			.containsExactly("line 5: [routing-policy] paces: unknown mechanism or parameter",
					"line 6: [routing-policy] pauses: expected on or off",
					"line 7: [routing-policy] anew-factor: expected a number from 1.0 to 1000.0 times",
					"line 8: [routing-policy] calm-work: expected a number from 0.0 to 1.0E7 tokens");
	}

	@Test
	void nonFiniteNumberIsRejected() {
		assertThat(problems("anew-factor = NaN")).hasSize(1);
		assertThat(problems("anew-factor = Infinity")).hasSize(1);
	}

	// Part uses are sent in the digests: if they could be on while digests are off, they
	// would appear to be in use and have no effect.
	@Test
	void mechanismWithoutItsDependencyIsRejected() {
		assertThat(problems("load-digests = off"))
			.containsExactly("line 3: [routing-policy] parts-told: needs load-digests, which is off");
		assertThat(parse("load-digests = off", "parts-told = off").isRight()).isTrue();
		Try<RoutingPolicy> made = Try.of(() -> new RoutingPolicy("p", Set.of(RoutingMechanism.LOAD_DIGESTS), Map.of()));
		assertThat(made.getCause()).isInstanceOf(IllegalArgumentException.class);
	}

	@ParameterizedTest
	@EnumSource(RoutingMechanism.class)
	void eachMechanismCanBeSwitchedOffWithItsDependents(RoutingMechanism mechanism) {
		String[] lines = Arrays.stream(RoutingMechanism.values())
			.filter((other) -> other == mechanism || other.dependency().filter(mechanism::equals).isPresent())
			.map((other) -> other.label() + " = off")
			.toArray(String[]::new);
		assertThat(parse(lines).get().isOn(mechanism)).isFalse();
	}

	@ParameterizedTest
	@EnumSource(RoutingParameter.class)
	void defaultsAreWithinTheirRange(RoutingParameter parameter) {
		assertThat(parameter.permits(parameter.defaultValue())).isTrue();
		assertThat(parse(parameter.label() + " = " + parameter.defaultValue()).get().value(parameter))
			.isEqualTo(parameter.defaultValue());
	}

	/**
	 * An operator who switches an optional mechanism off must not find it on for the
	 * deployment or the endpoints of a pool.
	 */
	@Nested
	class Optionally {

		@Test
		void isOffUnlessCalledFor() {
			RoutingPolicy policy = parse().get();
			for (OptionalMechanism mechanism : OptionalMechanism.values()) {
				assertThat(policy.isOn(mechanism, false)).isFalse();
				assertThat(policy.isOn(mechanism, true)).isFalse();
			}
		}

		@ParameterizedTest
		@EnumSource(OptionalMechanism.class)
		void isOnInPoolsThatStateTheirPace(OptionalMechanism mechanism) {
			RoutingPolicy policy = parse(mechanism.label() + " = with-stated-pace").get();
			assertThat(policy.isOn(mechanism, true)).isTrue();
			assertThat(policy.isOn(mechanism, false)).isFalse();
		}

		@ParameterizedTest
		@EnumSource(OptionalMechanism.class)
		void followsWhatTheFileSays(OptionalMechanism mechanism) {
			assertThat(parse(mechanism.label() + " = on").get().isOn(mechanism, false)).isTrue();
			RoutingPolicy off = parse(mechanism.label() + " = off").get();
			assertThat(off.isOn(mechanism, true)).isFalse();
			assertThat(off.withDefaultsOn(Set.of(mechanism)).isOn(mechanism, true)).isFalse();
			assertThat(parse(mechanism.label() + " = maybe").getLeft().toString()).contains(mechanism.label());
		}

		@Test
		void isOnWhereTheDeploymentCallsForIt() {
			RoutingPolicy policy = parse("name = trial").get().withDefaultsOn(Set.of(OptionalMechanism.ADMISSION));
			assertThat(policy.isOn(OptionalMechanism.ADMISSION, false)).isTrue();
			assertThat(policy.isOn(OptionalMechanism.CUSTOMER_SHARES, false)).isFalse();
			assertThat(policy.name()).isEqualTo("trial");
		}

	}

}
