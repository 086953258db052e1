package org.acaciacourse.bench.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.acaciacourse.bench.check.Told;
import org.acaciacourse.testkit.Waiting;

/**
 * A steady flow of streamed and marked requests through a balancer that leaves out
 * entries that say that they are not ready.
 * <p>
 * Thread safe: one thread sends, another asks entries for readiness.
 */
final class SteadyLoad implements AutoCloseable {

	private static final int PERIOD_MILLIS = 25;

	private static final int HEALTH_PERIOD_MILLIS = 100;

	private final ScheduledExecutorService sender = Executors.newSingleThreadScheduledExecutor();

	private final ScheduledExecutorService health = Executors.newSingleThreadScheduledExecutor();

	private final List<CompletableFuture<Told>> calls = new ArrayList<>();

	private final Cluster cluster;

	private final Caller caller;

	private volatile List<Integer> ready;

	private int sent;

	SteadyLoad(Cluster cluster, Caller caller) {
		this.cluster = cluster;
		this.caller = caller;
		askHealth();
		this.health.scheduleAtFixedRate(this::askHealth, 0, HEALTH_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
		this.sender.scheduleAtFixedRate(this::send, 0, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Wait until more requests were answered.
	 * @param more how many
	 */
	void awaitAnswers(int more) {
		long before = answered();
		Waiting.until(more + " more answers", () -> answered() >= before + more);
	}

	/**
	 * Stop sending and wait for the last answers.
	 * @return what all callers were told
	 */
	List<Told> stop() {
		close();
		synchronized (this.calls) {
			return this.calls.stream().map(CompletableFuture::join).toList();
		}
	}

	@Override
	public void close() {
		this.sender.shutdown();
		this.health.shutdown();
	}

	private long answered() {
		synchronized (this.calls) {
			return this.calls.stream()
				.filter((call) -> call.isDone() && call.join().outcome() == Told.Outcome.ANSWERED)
				.count();
		}
	}

	private void askHealth() {
		this.ready = IntStream.range(0, this.cluster.entryCount()).filter(this.cluster::isEntryReady).boxed().toList();
	}

	private void send() {
		List<Integer> choice = this.ready;
		if (choice.isEmpty()) {
			return;
		}
		int number = this.sent++;
		String address = this.cluster.entryAddress(choice.get(number % choice.size()));
		String content = "steady " + number + " [tokens=60]";
		boolean marked = number % 5 == 0;
		CompletableFuture<Told> call = (marked) ? this.caller.marked(address, content, "steady-" + number)
				: this.caller.chat(address, content, true, Map.of());
		synchronized (this.calls) {
			this.calls.add(call);
		}
	}

}
