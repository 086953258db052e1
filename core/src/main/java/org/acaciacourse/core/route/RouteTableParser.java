package org.acaciacourse.core.route;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.BiFunction;
import java.util.stream.IntStream;

import io.vavr.control.Either;
import org.acaciacourse.core.ini.CommaList;
import org.acaciacourse.core.ini.Problem;
import org.acaciacourse.core.ini.Units;
import org.acaciacourse.core.manifest.ManifestDocument;

/**
 * Parses and validates a routing manifest into a {@link RouteTable}. A routing manifest
 * has the section {@code [routing]} instead of the {@code [manifest]} of manifests for
 * chat requests. All problems are reported together, and a manifest with any problem is
 * rejected as a whole. The key {@code annotation} is allowed in every section and
 * ignored: the pipeline that writes the manifest stores in it what it needs to restore
 * its own format.
 * <p>
 * Names and keys may be any text. In a list within one value, which people write, they
 * end at a comma, and in a pair at the last colon; a pipeline writes each one as the
 * whole value of a numbered key (see {@link #itemKey}). Numbered keys go before the list.
 * <p>
 * Elements of unchanged sections are reused from the previous table, so that a small
 * change to a large manifest stays cheap.
 * <p>
 * Not thread safe: keeps the elements of the last table and is confined to the thread
 * that applies manifest changes.
 */
public final class RouteTableParser {

	/** The name of the section that marks a routing manifest. */
	public static final String ROUTING_SECTION = "routing";

	/** The name prefix of the sections of routes. */
	public static final String ROUTE_PREFIX = "route ";

	/** The name prefix of the sections of pools. */
	public static final String POOL_PREFIX = "pool ";

	/** The name prefix of the sections of customers. */
	public static final String CUSTOMER_PREFIX = "customer ";

	/** The key that is ignored. */
	public static final String ANNOTATION_KEY = "annotation";

	/** The numbered keys with the pools of a route. */
	public static final String POOL_ITEM = "pool";

	/** The numbered keys with the weights of the pools; 1 where there is none. */
	public static final String WEIGHT_ITEM = "weight";

	/** The numbered keys with the keys of a customer. */
	public static final String KEY_ITEM = "key";

	/** The numbered keys with the data centres that have a price. */
	public static final String DATA_CENTRE_ITEM = "data-centre";

	/** The numbered keys with the prices of the data centres. */
	public static final String PRICE_ITEM = "price";

	/** The name of a customer where it is not that of its section. */
	public static final String CUSTOMER_NAME_KEY = "name";

	private static final String USUAL_VALUE = "1";

	private ManifestDocument previousDocument = ManifestDocument.empty();

	private Map<String, Object> previousElements = Map.of();

	private List<Problem> problems = new ArrayList<>();

	/**
	 * Return the key of an item of a list whose items may be any text.
	 * @param item what the items are
	 * @param number the number of the item, from 1 without gaps
	 * @return the key
	 */
	public static String itemKey(String item, int number) {
		return item + ' ' + number;
	}

	/**
	 * Return whether a document is a routing manifest.
	 * @param document the document
	 * @return whether it has a routing section
	 */
	public static boolean isRouting(ManifestDocument document) {
		return document.contains(ROUTING_SECTION);
	}

	/**
	 * Validate a document and build a table from it.
	 * @param document the document
	 * @return the table, or all problems found
	 */
	public Either<List<Problem>, RouteTable> parse(ManifestDocument document) {
		this.problems = new ArrayList<>();
		Map<String, Object> elements = new HashMap<>();
		SortedMap<String, SortedMap<String, String>> sections = document.sections();
		List<Pool> pools = parseSections(POOL_PREFIX, document, sections, this::parsePool, elements, Pool.class);
		List<KeyOwner> owners = parseSections(CUSTOMER_PREFIX, document, sections, this::parseOwner, elements,
				KeyOwner.class);
		List<Route> routes = parseSections(ROUTE_PREFIX, document, sections, this::parseRoute, elements, Route.class);
		SectionReader routing = new SectionReader(ROUTING_SECTION,
				sections.getOrDefault(ROUTING_SECTION, new TreeMap<>()));
		long number = routing.number("number", 1, Long.MAX_VALUE, 0);
		CallerLimits limits = parseLimits(routing);
		checkUniqueHostAndPrefix(routes);
		checkPoolReferences(routes, pools);
		checkUniqueKeys(owners);
		if (!this.problems.isEmpty()) {
			return Either.left(List.copyOf(this.problems));
		}
		this.previousDocument = document;
		this.previousElements = elements;
		return Either.right(new RouteTable(number, limits, routes, pools, owners));
	}

	/**
	 * Read only the pools of a valid document.
	 * @param document the document
	 * @return the pools
	 */
	public static List<Pool> pools(ManifestDocument document) {
		RouteTableParser parser = new RouteTableParser();
		parser.problems = new ArrayList<>();
		return parser.parseSections(POOL_PREFIX, document, document.sections(), parser::parsePool, new HashMap<>(),
				Pool.class);
	}

	private <T> List<T> parseSections(String prefix, ManifestDocument document,
			SortedMap<String, SortedMap<String, String>> sections, BiFunction<String, SectionReader, T> parser,
			Map<String, Object> elements, Class<T> type) {
		List<T> parsed = new ArrayList<>();
		// '!' is the character after the space, so the range holds just the names with
		// this prefix.
		String end = prefix.strip() + "!";
		sections.subMap(prefix, end).forEach((name, keys) -> {
			Object previous = (this.previousDocument.sharesSection(name, document)) ? this.previousElements.get(name)
					: null;
			int problemsBefore = this.problems.size();
			T element = type.cast((previous != null) ? previous
					: parser.apply(name.substring(prefix.length()), new SectionReader(name, keys)));
			if (this.problems.size() == problemsBefore) {
				elements.put(name, element);
				parsed.add(element);
			}
		});
		return parsed;
	}

	private Pool parsePool(String name, SectionReader section) {
		return new Pool(name, (int) section.number("max-connections", 1, 1_000_000, 100),
				section.number("engine-tokens", 0, Long.MAX_VALUE, 0), parseScaling(section));
	}

	private static Optional<PoolScaling> parseScaling(SectionReader section) {
		if (section.text("endpoints-max").isEmpty()) {
			return Optional.empty();
		}
		int min = (int) section.number("endpoints-min", 0, 1_000_000, 0);
		int max = (int) section.number("endpoints-max", 0, 1_000_000, 0);
		if (min > max) {
			section.addProblem("endpoints-min", min + " is above endpoints-max " + max);
			return Optional.empty();
		}
		double price = section.decimal("reclaimable-price", 1);
		return Optional
			.of(new PoolScaling(min, max, section.duration("boot", Duration.ZERO), price, parsePrices(section)));
	}

	// A price that can't be read counts as missing: it only decides which of several
	// data centres is preferred.
	private static Map<String, Double> parsePrices(SectionReader section) {
		Map<String, Double> prices = new HashMap<>();
		for (Pair pair : section.pairs(DATA_CENTRE_ITEM, PRICE_ITEM, "data-centre-prices")) {
			if (!pair.name.isEmpty() && Units.isDecimal(pair.value)) {
				prices.put(pair.name, Double.valueOf(pair.value));
			}
		}
		return prices;
	}

	private KeyOwner parseOwner(String name, SectionReader section) {
		Optional<String> priority = section.text("priority");
		OptionalInt routingPriority = (priority.isPresent())
				? OptionalInt.of((int) section.number("priority", 0, 1_000, 0)) : OptionalInt.empty();
		return new KeyOwner(section.keys.getOrDefault(CUSTOMER_NAME_KEY, name), section.list(KEY_ITEM, "keys"),
				routingPriority);
	}

	private Route parseRoute(String name, SectionReader section) {
		Optional<RequestKind> kind = section.text("kind").flatMap(RequestKind::ofLabel);
		if (kind.isEmpty()) {
			section.addProblem("kind", "expected safe, unsafe or stream");
		}
		String prefix = section.text("path-prefix").orElse("");
		if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
			section.addProblem("path-prefix", "must begin and end with a slash");
		}
		Duration timeout = section.duration("timeout", Duration.ZERO);
		if (timeout.isZero()) {
			section.addProblem("timeout", "must be above 0");
		}
		List<PoolShare> shares = parseShares(section);
		if (shares.stream().mapToLong(PoolShare::weight).sum() <= 0) {
			section.addProblem("pools", "the weights add up to 0");
		}
		if (!section.isValid()) {
			return null;
		}
		return new Route(name, section.text("host").orElse(""), prefix, kind.get(), section.flag("resumable"), timeout,
				section.duration("target", timeout), section.duration("event-gap", Duration.ZERO),
				(int) section.number("priority", 0, 1_000, 0), shares, (int) section.number("max-attempts", 1, 100, 1),
				section.flag("anonymous"), section.flag("affinity"));
	}

	private static List<PoolShare> parseShares(SectionReader section) {
		List<PoolShare> shares = new ArrayList<>();
		for (Pair pair : section.pairs(POOL_ITEM, WEIGHT_ITEM, "pools")) {
			try {
				shares.add(new PoolShare(pair.name, Long.parseLong(pair.value)));
			}
			catch (IllegalArgumentException ex) {
				section.addProblem("pools", "expected POOL:WEIGHT, ...");
			}
		}
		return shares;
	}

	private static CallerLimits parseLimits(SectionReader routing) {
		CallerLimits defaults = CallerLimits.DEFAULT;
		return new CallerLimits(
				(int) routing.number("max-header-bytes", 1, Integer.MAX_VALUE, defaults.maxHeaderBytes()),
				(int) routing.number("max-body-bytes", 1, Integer.MAX_VALUE, defaults.maxBodyBytes()),
				routing.duration("header-timeout", defaults.headerTimeout()),
				routing.duration("idle-timeout", defaults.idleTimeout()));
	}

	private void checkUniqueHostAndPrefix(List<Route> routes) {
		Map<HostAndPrefix, String> names = new HashMap<>();
		for (Route route : routes) {
			String other = names.putIfAbsent(new HostAndPrefix(route.host(), route.pathPrefix()), route.name());
			if (other != null) {
				addProblem(ROUTE_PREFIX + route.name(), "path-prefix", "same host and path prefix as route " + other);
			}
		}
	}

	private void checkPoolReferences(List<Route> routes, List<Pool> pools) {
		Set<String> known = new HashSet<>();
		pools.forEach((pool) -> known.add(pool.name()));
		for (Route route : routes) {
			route.shares()
				.stream()
				.filter((share) -> !known.contains(share.pool()))
				.forEach((share) -> addProblem(ROUTE_PREFIX + route.name(), "pools",
						"there is no pool " + share.pool()));
		}
	}

	private void checkUniqueKeys(List<KeyOwner> owners) {
		Map<String, KeyOwner> holders = new HashMap<>();
		for (KeyOwner owner : owners) {
			for (String key : owner.keys()) {
				KeyOwner other = holders.putIfAbsent(key, owner);
				// Two customers may have the same name.
				if (other != null && other != owner) {
					addProblem(CUSTOMER_PREFIX + owner.customer(), "keys",
							"a key also belongs to customer " + other.customer());
				}
			}
		}
	}

	private void addProblem(String section, String key, String text) {
		this.problems.add(new Problem(0, section, key, text));
	}

	/** Reads the values of one section and records the problems found. */
	private final class SectionReader {

		private final String name;

		private final SortedMap<String, String> keys;

		private final int problemsBefore = RouteTableParser.this.problems.size();

		private SectionReader(String name, SortedMap<String, String> keys) {
			this.name = name;
			this.keys = keys;
		}

		private boolean isValid() {
			return RouteTableParser.this.problems.size() == this.problemsBefore;
		}

		private void addProblem(String key, String text) {
			RouteTableParser.this.addProblem(this.name, key, text);
		}

		private Optional<String> text(String key) {
			return Optional.ofNullable(this.keys.get(key)).filter((value) -> !value.isEmpty());
		}

		private List<String> list(String item, String listKey) {
			List<String> items = items(item);
			return (items.isEmpty()) ? text(listKey).map(CommaList::split).orElse(List.of()) : items;
		}

		private List<String> items(String item) {
			List<String> items = new ArrayList<>();
			for (String next = this.keys.get(itemKey(item, 1)); next != null; next = this.keys
				.get(itemKey(item, items.size() + 1))) {
				items.add(next);
			}
			return items;
		}

		private List<Pair> pairs(String nameItem, String valueItem, String listKey) {
			List<String> names = items(nameItem);
			if (names.isEmpty()) {
				return text(listKey).map(CommaList::split).orElse(List.of()).stream().map(Pair::parse).toList();
			}
			return IntStream.range(0, names.size())
				.mapToObj((i) -> new Pair(names.get(i), this.keys.getOrDefault(itemKey(valueItem, i + 1), USUAL_VALUE)))
				.toList();
		}

		private boolean flag(String key) {
			return Boolean.parseBoolean(this.keys.getOrDefault(key, "false"));
		}

		private Duration duration(String key, Duration defaultValue) {
			Optional<String> value = text(key);
			Optional<Duration> duration = value.flatMap(Units::duration);
			if (value.isPresent() && duration.isEmpty()) {
				addProblem(key, "expected a number with ms, s, min or h");
			}
			return duration.orElse(defaultValue);
		}

		private double decimal(String key, double defaultValue) {
			Optional<String> value = text(key);
			boolean valid = value.isEmpty() || Units.isDecimal(value.get());
			if (!valid || value.map(Double::parseDouble).orElse(defaultValue) < 0) {
				addProblem(key, "expected a number of at least 0");
				return defaultValue;
			}
			return value.map(Double::parseDouble).orElse(defaultValue);
		}

		private long number(String key, long min, long max, long defaultValue) {
			Optional<String> value = text(key);
			if (value.isEmpty()) {
				if (defaultValue < min) {
					addProblem(key, "missing");
				}
				return defaultValue;
			}
			try {
				long number = Long.parseLong(value.get());
				if (number >= min && number <= max) {
					return number;
				}
			}
			catch (NumberFormatException ex) {
				// Reported below, like a number out of range.
			}
			addProblem(key, "expected a whole number from " + min + " to " + max);
			return defaultValue;
		}

	}

	/**
	 * A name with a number, which is not parsed yet.
	 *
	 * @param name the name
	 * @param value the number, {@code 1} where there is none
	 */
	private record Pair(String name, String value) {

		private static Pair parse(String text) {
			int colon = text.lastIndexOf(':');
			return (colon < 0) ? new Pair(text, USUAL_VALUE)
					: new Pair(text.substring(0, colon).strip(), text.substring(colon + 1).strip());
		}

	}

	/**
	 * What identifies a route.
	 *
	 * @param host the host
	 * @param pathPrefix the prefix of its paths
	 */
	private record HostAndPrefix(String host, String pathPrefix) {
	}

}
