package org.acaciacourse.core.manifest;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.BiFunction;
import java.util.function.Function;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

import io.vavr.control.Either;
import org.acaciacourse.core.ini.IniText;
import org.acaciacourse.core.ini.Problem;
import org.acaciacourse.core.ini.Units;
import org.acaciacourse.core.model.Customer;
import org.acaciacourse.core.model.Endpoint;
import org.acaciacourse.core.model.EndpointSet;
import org.acaciacourse.core.model.LatencyTarget;
import org.acaciacourse.core.model.Manifest;
import org.acaciacourse.core.model.Policy;
import org.acaciacourse.core.model.PolicyKind;
import org.acaciacourse.core.model.PolicyParameter;
import org.acaciacourse.core.model.PolicySelection;
import org.acaciacourse.core.model.RequestClass;
import org.acaciacourse.core.model.Service;
import org.acaciacourse.core.model.Tier;

/**
 * Parses and validates manifests. All problems are reported together, each with section,
 * key and line; a manifest with any problem is rejected as a whole.
 * <p>
 * Not thread safe: created for one document and used once.
 */
public final class ManifestParser {

	private static final String MANIFEST = "manifest";

	private static final String NAME_FORM = "[A-Za-z0-9][A-Za-z0-9._-]{0,62}";

	private static final Pattern SECTION_NAME = Pattern
		.compile("(policy|endpoint-set|class|endpoint|customer|service|vm) " + NAME_FORM);

	private static final Pattern ADDRESS = Pattern.compile("http://[0-9a-fA-F.:\\[\\]]+:[0-9]{1,5}");

	private static final Pattern KEY_DIGEST = Pattern.compile("[0-9a-f]{64}");

	private static final Pattern COMMA = Pattern.compile(",");

	private final ManifestDocument document;

	private final SortedMap<String, SortedMap<String, String>> sections;

	private final BiFunction<String, String, Integer> lines;

	private final List<Problem> problems = new ArrayList<>();

	private final Optional<Previous> previous;

	private ManifestParser(ManifestDocument document, BiFunction<String, String, Integer> lines,
			Optional<Previous> previous) {
		this.document = document;
		this.previous = previous.filter((old) -> old.referencesRemainValidIn(document));
		this.sections = document.sections();
		this.lines = lines;
	}

	/**
	 * Parse and validate the text of a manifest file.
	 * @param text the text
	 * @return the document, or the problems of its syntax, or else those of its content
	 */
	public static Either<List<Problem>, ManifestDocument> document(String text) {
		IniText ini = new IniText(text);
		if (!ini.problems().isEmpty()) {
			return Either.left(ini.problems());
		}
		ManifestDocument document = new ManifestDocument(ini.sections());
		return new ManifestParser(document, ini::line, Optional.empty()).parse().map((manifest) -> document);
	}

	/**
	 * Validate a document and build a manifest from it.
	 * @param document the document
	 * @return the manifest, or all problems found
	 */
	public static Either<List<Problem>, Manifest> manifest(ManifestDocument document) {
		return new ManifestParser(document, (section, key) -> 0, Optional.empty()).parse();
	}

	/**
	 * Validate a changed document and build a manifest from it. Elements of unchanged
	 * sections are reused from the previous manifest, so that a small change to a large
	 * manifest stays cheap.
	 * @param document the document
	 * @param previousManifest the manifest before the change
	 * @param previousDocument the document that it was built from
	 * @return the manifest, or all problems found
	 */
	public static Either<List<Problem>, Manifest> manifest(ManifestDocument document, Manifest previousManifest,
			ManifestDocument previousDocument) {
		Previous previous = new Previous(previousManifest, previousDocument);
		return new ManifestParser(document, (section, key) -> 0, Optional.of(previous)).parse();
	}

	private Either<List<Problem>, Manifest> parse() {
		checkSectionNames();
		Map<String, Policy> policies = parseSections("policy", this::parsePolicy, Manifest::policies);
		Map<String, EndpointSet> sets = parseSections("endpoint-set", this::parseEndpointSet, Manifest::endpointSets);
		Map<String, RequestClass> classes = parseSections("class", this::parseRequestClass, Manifest::classes);
		Map<String, Endpoint> endpoints = parseSections("endpoint", this::parseEndpoint, Manifest::endpoints);
		Map<String, Customer> customers = parseSections("customer", this::parseCustomer, Manifest::customers);
		Map<String, Service> services = parseSections("service", this::parseService, Manifest::services);
		Set<String> drainedVms = parseSections("vm", this::parseVmDrain, (manifest) -> Map.of()).entrySet()
			.stream()
			.filter(Map.Entry::getValue)
			.map(Map.Entry::getKey)
			.collect(Collectors.toSet());
		SectionReader manifestSection = reader(MANIFEST);
		long number = manifestSection.wholeNumber("number", 1, Long.MAX_VALUE);
		String policy = manifestSection.reference("policy", "policy");
		Optional<String> split = manifestSection.optional("split");
		split.ifPresent((name) -> manifestSection.checkReference("split", "policy", name));
		int splitPercent = (int) manifestSection.wholeNumber("split-percent", 0, 100, 0);
		manifestSection.reportUnknownKeys();
		checkUniqueKeys(customers);
		if (!this.problems.isEmpty()) {
			return Either.left(List.copyOf(this.problems));
		}
		PolicySelection inForce = new PolicySelection(policy, split, splitPercent);
		return Either.right(new Manifest(number, this.document.digest(), inForce, policies, classes, sets, endpoints,
				customers, services, drainedVms));
	}

	private void checkSectionNames() {
		for (String section : this.sections.keySet()) {
			if (!SECTION_NAME.matcher(section).matches() && !section.equals(MANIFEST)) {
				addProblem(section, "", "unknown section, or name does not match " + NAME_FORM);
			}
		}
		if (!this.document.contains(MANIFEST)) {
			addProblem(MANIFEST, "", "missing section");
		}
	}

	private void checkUniqueKeys(Map<String, Customer> customers) {
		Map<String, String> owners = new TreeMap<>();
		customers.values().forEach((customer) -> customer.keyDigests().forEach((digest) -> {
			String other = owners.putIfAbsent(digest, customer.name());
			if (other != null) {
				addProblem("customer " + customer.name(), "key-sha256", "a key also belongs to customer " + other);
			}
		}));
	}

	private Policy parsePolicy(String name, SectionReader reader) {
		PolicyKind kind = reader.enumValue("kind", PolicyKind::ofLabel, PolicyKind.TIERED);
		Map<String, Double> numbers = reader.remainingNumbers();
		numbers.forEach((key, value) -> checkParameter(reader, key, value));
		return new Policy(name, kind, numbers);
	}

	private static void checkParameter(SectionReader reader, String key, double value) {
		Optional<PolicyParameter> parameter = PolicyParameter.ofLabel(key);
		if (parameter.isEmpty()) {
			reader.addProblem(key, "unknown parameter");
		}
		else if (!parameter.get().permits(value)) {
			reader.addProblem(key, "must be " + parameter.get().range());
		}
	}

	private EndpointSet parseEndpointSet(String name, SectionReader reader) {
		EndpointSet.Kind kind = reader.enumValue("kind", EndpointSet.Kind::ofLabel, EndpointSet.Kind.MODEL);
		Set<String> models = Set.copyOf(reader.list("models", kind == EndpointSet.Kind.MODEL));
		return new EndpointSet(name, kind, models, reader.flag("resume", false), reader.flag("deterministic", false),
				reader.flag("checks-fencing", false));
	}

	private RequestClass parseRequestClass(String name, SectionReader reader) {
		Tier tier = reader.enumValue("tier", Tier::ofLabel, Tier.MIDDLE);
		LatencyTarget target = parseTarget(reader);
		Duration deadline = reader.duration("deadline", target.limit());
		boolean preemptible = reader.flag("preemptible", false);
		if (deadline.compareTo(target.limit()) < 0) {
			reader.addProblem("deadline", "must not be shorter than the target");
			deadline = target.limit();
		}
		if (preemptible && tier == Tier.HIGH) {
			reader.addProblem("preemptible", "the high tier is never preempted");
			preemptible = false;
		}
		List<String> sets = reader.list("endpoint-sets", true);
		sets.forEach((set) -> reader.checkReference("endpoint-sets", "endpoint-set", set));
		return new RequestClass(name, tier, target, deadline, preemptible, sets);
	}

	private LatencyTarget parseTarget(SectionReader reader) {
		LatencyTarget fallback = new LatencyTarget(LatencyTarget.Kind.WHOLE_ANSWER, Duration.ofSeconds(1));
		String[] words = reader.required("target").split("\\s+", 2);
		Optional<LatencyTarget.Kind> kind = LatencyTarget.Kind.ofLabel(words[0]);
		Optional<Duration> limit = (words.length == 2) ? Units.duration(words[1]) : Optional.empty();
		if (kind.isEmpty() || limit.isEmpty() || limit.get().isZero()) {
			reader.addProblem("target", "expected first-token or whole-answer and a duration");
			return fallback;
		}
		return new LatencyTarget(kind.get(), limit.get());
	}

	private Endpoint parseEndpoint(String name, SectionReader reader) {
		String set = reader.reference("set", "endpoint-set");
		URI address = reader.address("address");
		int slots = (int) reader.wholeNumber("slots", 1, 100_000, 8);
		return new Endpoint(name, set, address, reader.required("data-centre"), slots, reader.flag("drain", false));
	}

	private Customer parseCustomer(String name, SectionReader reader) {
		List<String> digests = reader.list("key-sha256", true);
		if (!digests.stream().allMatch((digest) -> KEY_DIGEST.matcher(digest).matches())) {
			reader.addProblem("key-sha256", "expected 64 lower-case hexadecimal digits for each key");
		}
		List<String> classes = reader.list("classes", true);
		classes.forEach((c) -> reader.checkReference("classes", "class", c));
		int inFlight = (int) reader.wholeNumber("max-in-flight", 1, 1_000_000, 1_000);
		double rate = reader.number("requests-per-second", 1_000);
		int weight = (int) reader.wholeNumber("weight", 1, 1_000, 1);
		if (!(rate > 0)) {
			reader.addProblem("requests-per-second", "must be above 0");
			rate = 1;
		}
		return new Customer(name, Set.copyOf(digests), classes, inFlight, rate, weight);
	}

	private Service parseService(String name, SectionReader reader) {
		String set = reader.reference("endpoint-set", "endpoint-set");
		String requestClass = reader.reference("class", "class");
		List<Service.Call> calls = new ArrayList<>();
		for (String call : reader.list("not-repeated", false)) {
			String[] words = call.split("\\s+", 2);
			if (words.length != 2 || !words[0].matches("[A-Z]+") || !words[1].startsWith("/")) {
				reader.addProblem("not-repeated", "expected METHOD /path, ...");
				continue;
			}
			calls.add(new Service.Call(words[0], words[1]));
		}
		return new Service(name, set, requestClass, calls);
	}

	private Boolean parseVmDrain(String name, SectionReader reader) {
		return reader.flag("drain", false);
	}

	private <T> Map<String, T> parseSections(String kind, BiFunction<String, SectionReader, T> parser,
			Function<Manifest, Map<String, T>> previousElements) {
		Map<String, T> elements = new HashMap<>();
		String prefix = kind + " ";
		// '!' is the character after the space, so the range holds just the names with
		// this prefix.
		for (String section : this.sections.subMap(prefix, kind + "!").keySet()) {
			String name = section.substring(prefix.length());
			Optional<T> unchanged = this.previous.filter((p) -> p.document().sharesSection(section, this.document))
				.flatMap((p) -> Optional.ofNullable(previousElements.apply(p.manifest()).get(name)));
			elements.put(name, unchanged.orElseGet(() -> parseSection(name, reader(section), parser)));
		}
		return elements;
	}

	private <T> T parseSection(String name, SectionReader reader, BiFunction<String, SectionReader, T> parser) {
		T element = parser.apply(name, reader);
		reader.reportUnknownKeys();
		return element;
	}

	private SectionReader reader(String section) {
		return new SectionReader(section, this.sections.getOrDefault(section, new TreeMap<>()));
	}

	private void addProblem(String section, String key, String text) {
		this.problems.add(new Problem(this.lines.apply(section, key), section, key, text));
	}

	/**
	 * A validated manifest and its document.
	 *
	 * @param manifest the manifest
	 * @param document the document that it was built from
	 */
	private record Previous(Manifest manifest, ManifestDocument document) {

		// An unchanged section becomes invalid when a section that it refers to is
		// removed. In that case all sections are validated again. No section refers to
		// a section of another kind.
		private boolean referencesRemainValidIn(ManifestDocument next) {
			return containsAll(this.manifest.policies().keySet(), "policy ", next)
					&& containsAll(this.manifest.endpointSets().keySet(), "endpoint-set ", next)
					&& containsAll(this.manifest.classes().keySet(), "class ", next);
		}

		private static boolean containsAll(Set<String> names, String prefix, ManifestDocument next) {
			return names.stream().allMatch((name) -> next.contains(prefix + name));
		}

	}

	/** Reads the values of one section and records the problems found. */
	private final class SectionReader {

		private final String section;

		private final SortedMap<String, String> unread;

		private SectionReader(String section, SortedMap<String, String> keys) {
			this.section = section;
			this.unread = new TreeMap<>(keys);
		}

		private void addProblem(String key, String text) {
			ManifestParser.this.addProblem(this.section, key, text);
		}

		private Optional<String> optional(String key) {
			return Optional.ofNullable(this.unread.remove(key)).filter((value) -> !value.isEmpty());
		}

		private String required(String key) {
			Optional<String> value = optional(key);
			if (value.isEmpty()) {
				addProblem(key, "missing");
			}
			return value.orElse("");
		}

		private String reference(String key, String kind) {
			String name = required(key);
			if (!name.isEmpty()) {
				checkReference(key, kind, name);
			}
			return name;
		}

		private void checkReference(String key, String kind, String name) {
			if (!ManifestParser.this.document.contains(kind + " " + name)) {
				addProblem(key, "there is no [" + kind + " " + name + "]");
			}
		}

		private List<String> list(String key, boolean required) {
			String value = (required) ? required(key) : optional(key).orElse("");
			return COMMA.splitAsStream(value).map(String::strip).filter((word) -> !word.isEmpty()).toList();
		}

		private boolean flag(String key, boolean defaultValue) {
			String value = optional(key).orElse(Boolean.toString(defaultValue));
			if (!value.equals("true") && !value.equals("false")) {
				addProblem(key, "expected true or false");
			}
			return value.equals("true");
		}

		private <T> T enumValue(String key, Function<String, Optional<T>> lookup, T fallback) {
			String value = required(key);
			Optional<T> found = lookup.apply(value);
			if (found.isEmpty() && !value.isEmpty()) {
				addProblem(key, "unknown value " + value);
			}
			return found.orElse(fallback);
		}

		private Duration duration(String key, Duration fallback) {
			String value = required(key);
			Optional<Duration> duration = Units.duration(value);
			if (duration.isEmpty() && !value.isEmpty()) {
				addProblem(key, "expected a number with ms, s, min or h");
			}
			return duration.orElse(fallback);
		}

		private long wholeNumber(String key, long min, long max) {
			String value = required(key);
			return (value.isEmpty()) ? min : parseInRange(key, value, min, max);
		}

		private long wholeNumber(String key, long min, long max, long defaultValue) {
			return optional(key).map((value) -> parseInRange(key, value, min, max)).orElse(defaultValue);
		}

		private long parseInRange(String key, String value, long min, long max) {
			try {
				long number = Long.parseLong(value);
				if (number >= min && number <= max) {
					return number;
				}
			}
			catch (NumberFormatException ex) {
				// Reported below, like a number out of range.
			}
			addProblem(key, "expected a whole number from " + min + " to " + max);
			return min;
		}

		private double number(String key, double defaultValue) {
			return optional(key).map((value) -> number(key, value, defaultValue)).orElse(defaultValue);
		}

		private double number(String key, String value, double fallback) {
			try {
				double number = Double.parseDouble(value);
				if (Double.isFinite(number)) {
					return number;
				}
			}
			catch (NumberFormatException ex) {
				// Reported below, like a number that is not finite.
			}
			addProblem(key, "expected a number");
			return fallback;
		}

		private URI address(String key) {
			String value = required(key);
			boolean valid = ADDRESS.matcher(value).matches();
			if (!valid && !value.isEmpty()) {
				addProblem(key, "expected http://IP:PORT");
			}
			return URI.create((valid) ? value : "http://127.0.0.1:1");
		}

		private Map<String, Double> remainingNumbers() {
			Map<String, Double> numbers = new TreeMap<>();
			for (String key : List.copyOf(this.unread.keySet())) {
				numbers.put(key, number(key, 0));
			}
			return numbers;
		}

		private void reportUnknownKeys() {
			this.unread.keySet().forEach((key) -> addProblem(key, "unknown key"));
		}

	}

}
