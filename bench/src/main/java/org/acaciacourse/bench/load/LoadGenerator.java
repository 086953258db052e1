package org.acaciacourse.bench.load;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Phaser;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;

import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.Request;
import org.asynchttpclient.RequestBuilder;

/**
 * Sends requests at their intended times, whatever becomes of earlier ones, in turn to
 * each target, so that all targets are measured under the same conditions.
 * <p>
 * Not thread safe.
 */
public final class LoadGenerator implements AutoCloseable {

	private static final Duration REQUEST_LIMIT = Duration.ofMinutes(2);

	private static final int LAST_ANSWERS_SECONDS = 60;

	private final AsyncHttpClient client;

	private final LoadPlan plan;

	/**
	 * Create a generator.
	 * @param plan what to send
	 */
	public LoadGenerator(LoadPlan plan) {
		this.plan = plan;
		this.client = new DefaultAsyncHttpClient(
				new DefaultAsyncHttpClientConfig.Builder().setMaxConnectionsPerHost(plan.connections())
					.setAcquireFreeChannelTimeout((int) REQUEST_LIMIT.toMillis())
					.setRequestTimeout(REQUEST_LIMIT)
					.setReadTimeout(REQUEST_LIMIT)
					.setTcpNoDelay(true)
					.setMaxRequestRetry(0)
					.build());
	}

	/**
	 * Send for a while and wait for the last answers.
	 * @param seconds how long to send
	 * @param results the results of each target, in the order of the plan's targets
	 * @throws TimeoutException if answers stay out
	 * @throws InterruptedException if the thread is interrupted
	 */
	public void run(int seconds, List<TargetResults> results) throws TimeoutException, InterruptedException {
		Phaser open = new Phaser(1);
		long period = (long) (TimeUnit.SECONDS.toNanos(1) / this.plan.requestsPerSecond());
		long count = (long) (seconds * this.plan.requestsPerSecond());
		long start = System.nanoTime();
		for (long i = 0; i < count; i++) {
			long intended = start + i * period;
			waitUntil(intended);
			send((int) (i % results.size()), i, results, intended, open);
		}
		int phase = open.arrive();
		open.awaitAdvanceInterruptibly(phase, LAST_ANSWERS_SECONDS, TimeUnit.SECONDS);
	}

	private void send(int target, long number, List<TargetResults> results, long intended, Phaser open) {
		boolean streamed = (number / results.size()) % 100 < this.plan.streamedPercent();
		open.register();
		results.get(target).sent();
		this.client.executeRequest(request(this.plan.targets().get(target), number, streamed),
				new AnswerTimer(results.get(target), streamed, intended, open::arriveAndDeregister));
	}

	private Request request(String address, long number, boolean streamed) {
		String body = "{\"model\":\"" + this.plan.model() + "\",\"stream\":" + streamed
				+ ",\"messages\":[{\"role\":\"user\",\"content\":\"request " + number + " [tokens=" + this.plan.tokens()
				+ "]\"}]}";
		return new RequestBuilder("POST").setUrl(address + "/v1/chat/completions")
			.setHeader("Content-Type", "application/json")
			.setHeader("Authorization", "Bearer " + this.plan.key())
			.setHeader("X-Request-Class", this.plan.requestClass())
			.setBody(body)
			.build();
	}

	private static void waitUntil(long time) {
		long left = time - System.nanoTime();
		while (left > 0) {
			LockSupport.parkNanos(left);
			left = time - System.nanoTime();
		}
	}

	@Override
	public void close() throws IOException {
		this.client.close();
	}

}
