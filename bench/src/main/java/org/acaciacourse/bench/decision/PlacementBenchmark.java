package org.acaciacourse.bench.decision;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.acaciacourse.core.balance.PeerLoads;
import org.acaciacourse.core.balance.Placement;
import org.acaciacourse.core.balance.PoolBalancer;
import org.acaciacourse.core.balance.PromptShape;
import org.acaciacourse.core.balance.QueuePosition;
import org.acaciacourse.core.route.FleetEndpoint;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * The time of one placement of a routed request, with requests under way at each engine
 * and a millisecond between two requests.
 * <p>
 * Not thread safe: JMH gives each thread its own.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(0)
public class PlacementBenchmark {

	private static final int SLOTS = 64;

	private static final long STEP_NANOS = 1_000_000L;

	private static final int PARTS = 80;

	/** How many engines the pool has. */
	@Param({ "6", "40", "98" })
	public int engines;

	private final PoolBalancer balancer = new PoolBalancer(new PeerLoads(), (instance) -> true);

	private List<Placement> asked = List.of();

	private long now;

	private int next;

	/**
	 * Make a pool and put some requests at each engine.
	 */
	@Setup
	public void fill() {
		this.balancer.endpoints(IntStream.range(0, this.engines)
			.mapToObj((i) -> new FleetEndpoint("i-" + i, "pool", "127.0.0.1:1", "dc", SLOTS, false))
			.toList());
		this.asked = IntStream.range(0, PARTS)
			.mapToObj((i) -> new Placement(prompt(i), true, i % 4 == 0, i * 7919L, Set.of()))
			.toList();
		for (int i = 0; i < this.engines * SLOTS / 4; i++) {
			Placement placement = this.asked.get(i % PARTS);
			this.balancer.choose(placement, this.now)
				.ifPresent((endpoint) -> this.balancer
					.begin(endpoint.instance(), placement, QueuePosition.BEHIND_OTHERS, this.now)
					.streamBegan(1));
		}
	}

	private static PromptShape prompt(long id) {
		return new PromptShape(9_190, 100, List.of(new PromptShape.Part(id % 4 + 1, 2_000),
				new PromptShape.Part(id + 100, 4_300), new PromptShape.Part(id + 1_000, 2_890)));
	}

	/**
	 * Choose an engine for the next request.
	 * @return the engine
	 */
	@Benchmark
	public Optional<FleetEndpoint> place() {
		this.now += STEP_NANOS;
		this.next = (this.next + 1) % PARTS;
		return this.balancer.choose(this.asked.get(this.next), this.now);
	}

}
