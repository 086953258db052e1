package org.acaciacourse.core.route;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.vavr.control.Either;
import org.acaciacourse.core.ini.Problem;
import org.acaciacourse.core.manifest.ManifestDocument;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

class RouteTableParserTests {

	private final Map<String, Map<String, String>> sections = new TreeMap<>();

	RouteTableParserTests() {
		section("routing", "number", "7");
		section("pool llm", "max-connections", "360", "engine-tokens", "573008");
		section("pool desk", "max-connections", "96");
		section("customer bank", "keys", "k1, k2", "priority", "1");
		route("outer", "/a/", "desk");
		route("inner", "/a/b/", "llm");
	}

	private void section(String name, String... keys) {
		Map<String, String> section = this.sections.computeIfAbsent(name, (n) -> new HashMap<>());
		for (int i = 0; i < keys.length; i += 2) {
			section.put(keys[i], keys[i + 1]);
		}
	}

	private void route(String name, String prefix, String pools) {
		section("route " + name, "host", "h.example", "path-prefix", prefix, "kind", "safe", "timeout", "800 ms",
				"pools", pools);
	}

	private Either<List<Problem>, RouteTable> parse() {
		return new RouteTableParser().parse(new ManifestDocument(this.sections));
	}

	@Nested
	class Matching {

		@ParameterizedTest
		@CsvSource({ "h.example, /a/x, outer", "h.example, /a/b/x, inner", "H.Example:8080, /a/b/, inner",
				"h.example, /a/bc/x, outer", "h.example, /a/b, outer" })
		void longestPrefixThatEndsWithASlashWins(String host, String path, String route) {
			assertThat(parse().get().match(host, path).map(Route::name)).isEqualTo(Optional.of(route));
		}

		@ParameterizedTest
		@CsvSource({ "h.example, /a", "h.example, /c/", "other.example, /a/x", "h.example, *" })
		void otherPathsAndHostsHaveNoRoute(String host, String path) {
			assertThat(parse().get().match(host, path)).isEqualTo(Optional.empty());
		}

	}

	@Nested
	class Refused {

		private void assertProblem(String part) {
			Either<List<Problem>, RouteTable> parsed = parse();
			assertThat(parsed.isLeft()).isTrue();
			assertThat(parsed.getLeft().toString()).contains(part);
		}

		@Test
		void unknownPool() {
			route("inner", "/a/b/", "nowhere");
			assertProblem("there is no pool nowhere");
		}

		@Test
		void equalHostAndPrefix() {
			route("third", "/a/b/", "desk");
			assertProblem("same host and path prefix as route");
		}

		@Test
		void weightsThatAddUpToNothing() {
			route("inner", "/a/b/", "llm:0, desk:0");
			assertProblem("the weights add up to 0");
		}

		@Test
		void noTimeout() {
			section("route inner", "timeout", "0 ms");
			assertProblem("must be above 0");
		}

		@Test
		void keyOfTwoCustomers() {
			section("customer other", "keys", "k2");
			assertProblem("a key also belongs to customer");
		}

		@Test
		void noNumber() {
			this.outer().sections.get("routing").remove("number");
			assertProblem("number: missing");
		}

		private RouteTableParserTests outer() {
			return RouteTableParserTests.this;
		}

	}

	@Nested
	class Customers {

		@Test
		void keysFindTheirOwner() {
			assertThat(parse().get().owner("k2").map(KeyOwner::customer)).isEqualTo(Optional.of("bank"));
			assertThat(parse().get().owner("k3")).isEqualTo(Optional.empty());
		}

		// Requests are refused when the keys of the only customer have been revoked. If
		// the table counted as one without customers, it would serve requests without any
		// key.
		@Test
		void customerWithoutKeysStillRequiresAKey() {
			section("customer bank", "keys", "");
			assertThat(parse().get().requiresCustomerKey()).isTrue();
		}

	}

	@Nested
	class Changes {

		@Test
		void unchangedSectionsAreReused() {
			RouteTableParser parser = new RouteTableParser();
			Route before = parser.parse(new ManifestDocument(RouteTableParserTests.this.sections))
				.get()
				.match("h.example", "/a/b/")
				.get();
			ManifestDocument document = new ManifestDocument(RouteTableParserTests.this.sections);
			section("route outer", "timeout", "900 ms");
			section("routing", "number", "9");
			ManifestDocument next = document
				.with(document.deltaTo(new ManifestDocument(RouteTableParserTests.this.sections)));
			RouteTable table = parser.parse(next).get();
			assertThat(table.match("h.example", "/a/b/").get()).isSameInstanceAs(before);
			assertThat(table.match("h.example", "/a/c").get().timeout().toMillis()).isEqualTo(900);
			assertThat(table.number()).isEqualTo(9);
		}

		@Test
		void invalidSectionIsNotReused() {
			RouteTableParser parser = new RouteTableParser();
			route("inner", "/a/b/", "nowhere");
			assertThat(parser.parse(new ManifestDocument(RouteTableParserTests.this.sections)).isLeft()).isTrue();
			assertThat(parser.parse(new ManifestDocument(RouteTableParserTests.this.sections)).isLeft()).isTrue();
		}

	}

	@Nested
	class Shares {

		@Test
		void weightsDivideTheRequests() {
			route("inner", "/a/b/", "llm:90, desk:10");
			Route route = parse().get().match("h.example", "/a/b/").get();
			long desk = java.util.stream.LongStream.range(0, 1000)
				.filter((hash) -> route.pool(hash).equals("desk"))
				.count();
			assertThat(desk).isEqualTo(100);
			assertThat(route.pool(-1)).isNotEmpty();
		}

	}

}
