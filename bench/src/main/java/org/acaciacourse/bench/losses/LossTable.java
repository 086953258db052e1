package org.acaciacourse.bench.losses;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import org.acaciacourse.daemon.explain.LogLine;

/**
 * Counts lost and late requests by time, route and cause, and keeps the ids of a few of
 * each for {@code explain}. Times are those of the VMs' clocks. What no log tells is not
 * here: requests whose entry was killed; of the late answers of an overload the number
 * alone.
 * <p>
 * Not thread safe: filled, then printed.
 */
final class LossTable {

	private static final int IDS_EACH = 2;

	private static final String NO_ROUTE = "-";

	private final Duration step;

	private final List<Loss> losses = new ArrayList<>();

	private long untold;

	private Optional<Instant> first = Optional.empty();

	/**
	 * Make a table.
	 * @param step the length of a row's time
	 */
	LossTable(Duration step) {
		this.step = step;
	}

	/**
	 * Take a line of a log.
	 * @param text the text of the line
	 */
	void take(String text) {
		LogLine.parse(text).ifPresent((line) -> {
			this.first = Optional.of(this.first.filter((at) -> at.isBefore(line.at())).orElse(line.at()));
			LossCause.of(line).ifPresent((cause) -> this.losses.add(loss(line, cause)));
			this.untold += line.fields().path("untold").asLong();
		});
	}

	private static Loss loss(LogLine line, LossCause cause) {
		JsonNode fields = line.fields();
		List<String> ids = new ArrayList<>();
		fields.path("requests").forEach((id) -> ids.add(id.asText()));
		if (fields.has("request")) {
			ids.add(fields.path("request").asText());
		}
		String route = fields.path("route").asText(NO_ROUTE);
		return new Loss(line.at(), route, cause, fields.path("count").asInt(1), ids);
	}

	/**
	 * Return how many requests were lost.
	 * @return the number, without those that were late
	 */
	int total() {
		return count(false);
	}

	private int count(boolean late) {
		return this.losses.stream().filter((loss) -> loss.cause().isLate() == late).mapToInt(Loss::count).sum();
	}

	/**
	 * Return the table.
	 * @return a line for each time, route and cause, in this order
	 */
	String text() {
		Map<Key, Cell> cells = new TreeMap<>();
		for (Loss loss : this.losses) {
			long row = Duration.between(this.first.orElse(loss.at()), loss.at()).dividedBy(this.step);
			cells.computeIfAbsent(new Key(row, loss.route(), loss.cause()), (key) -> new Cell()).add(loss);
		}
		StringBuilder text = new StringBuilder("from second  route         cause                        some ids\n");
		cells.forEach((key,
				cell) -> text.append(String.format(Locale.ROOT, "%11.1f  %-12s  %-22s  %4d  %s%n",
						key.row() * this.step.toMillis() / 1000.0, key.route(), key.cause().label(), cell.count,
						String.join(" ", cell.ids))));
		text.append(count(true)).append(" late, ").append(this.untold).append(" more without a line of their own\n");
		return text.append(total()).append(" lost in all\n").toString();
	}

	/**
	 * A lost request, or several that were told together.
	 *
	 * @param at when it ended
	 * @param route its route
	 * @param cause why
	 * @param count how many
	 * @param ids the ids that the line tells
	 */
	private record Loss(Instant at, String route, LossCause cause, int count, List<String> ids) {
	}

	private record Key(long row, String route, LossCause cause) implements Comparable<Key> {

		@Override
		public int compareTo(Key other) {
			int rows = Long.compare(this.row, other.row);
			int routes = (rows != 0) ? rows : this.route.compareTo(other.route);
			return (routes != 0) ? routes : this.cause.compareTo(other.cause);
		}

	}

	/** What is lost for one reason at one time. */
	private static final class Cell {

		private final List<String> ids = new ArrayList<>();

		private int count;

		private void add(Loss loss) {
			this.count += loss.count();
			loss.ids().stream().limit(IDS_EACH - Math.min(IDS_EACH, this.ids.size())).forEach(this.ids::add);
		}

	}

}
