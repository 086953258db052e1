package org.acaciacourse.daemon.telemetry;

import java.time.Duration;
import java.util.function.IntSupplier;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.acaciacourse.core.code.ResultCode;

/**
 * The metrics of an entry VM. No method is called per token; the tokens of a response are
 * added when it ends.
 * <p>
 * Thread safe.
 */
public final class EntryMetrics {

	private static final double[] BUCKET_BOUNDS_SECONDS = { 0.05, 0.1, 0.2, 0.41, 1, 2, 3, 5, 10, 30, 60, 300, 1800,
			28800 };

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final ClassResults results = new ClassResults();

	private final Counter arrived = counterPerPolicy("requests", "requests that arrived");

	private final Counter answered = counterPerPolicy("answers", "whole answers");

	private final Counter met = counterPerPolicy("target_met", "whole answers that met their target");

	private final Counter delivered = counterPerPolicy("tokens_delivered", "tokens of whole answers");

	private final Counter goodput = counterPerPolicy("tokens_goodput", "tokens of whole answers that met their target");

	private final Counter wasted = counterPerPolicy("tokens_wasted", "tokens received and thrown away");

	private final Counter retries = counterPerPolicy("retries", "attempts after one that ended");

	private final Counter hedges = counterPerPolicy("hedges", "attempts beside one that ran");

	private final Counter refusals = Counter.builder()
		.name("acaciacourse_refusals")
		.help("requests that got no whole answer, by code")
		.labelNames("code", "class")
		.register(this.registry);

	private final Counter discardedResponses = Counter.builder()
		.name("acaciacourse_answers_discarded")
		.help("answers that belonged to another attempt")
		.register(this.registry);

	private final Counter readPauses = Counter.builder()
		.name("acaciacourse_reads_paused")
		.help("times that an endpoint was not read on, as its caller was slow")
		.register(this.registry);

	private final Gauge queued = gaugePerClass("queued", "requests that wait for an endpoint");

	private final Gauge inFlight = gaugePerClass("in_flight", "requests that an endpoint runs");

	private final Gauge configurationNumber = Gauge.builder()
		.name("acaciacourse_configuration_number")
		.help("number of the manifest in force")
		.register(this.registry);

	private final Histogram firstTokenSeconds = histogramPerClass("first_token_seconds", "time to the first token");

	private final Histogram responseSeconds = histogramPerClass("answer_seconds", "time to the end of the answer");

	public EntryMetrics(IntSupplier connections) {
		Gauges.register(this.registry, "acaciacourse_caller_connections", "open connections of callers",
				connections::getAsInt);
	}

	private Counter counterPerPolicy(String name, String help) {
		return Counter.builder()
			.name("acaciacourse_" + name)
			.help(help)
			.labelNames("class", "policy")
			.register(this.registry);
	}

	private Gauge gaugePerClass(String name, String help) {
		return Gauge.builder().name("acaciacourse_" + name).help(help).labelNames("class").register(this.registry);
	}

	private Histogram histogramPerClass(String name, String help) {
		return Histogram.builder()
			.name("acaciacourse_" + name)
			.help(help)
			.labelNames("class")
			.classicOnly()
			.classicUpperBounds(BUCKET_BOUNDS_SECONDS)
			.register(this.registry);
	}

	/**
	 * Return the registry for the metrics page.
	 * @return the registry
	 */
	public PrometheusRegistry registry() {
		return this.registry;
	}

	/**
	 * Return the results per policy and class.
	 * @return the results
	 */
	public ClassResults results() {
		return this.results;
	}

	/**
	 * Record that a newer configuration is active.
	 * @param number its number
	 */
	public void configurationActivated(long number) {
		this.configurationNumber.set(number);
	}

	/** Record that reading from an endpoint was paused because its caller is slow. */
	public void readPaused() {
		this.readPauses.inc();
	}

	/** Record that a response was discarded because it carried another attempt's id. */
	public void responseDiscarded() {
		this.discardedResponses.inc();
	}

	/**
	 * Record a request that got no complete response.
	 * @param code the reason
	 * @param requestClass the name of its class, empty if it is not known yet
	 */
	public void requestRefused(ResultCode code, String requestClass) {
		this.refusals.labelValues(Integer.toString(code.number()), requestClass).inc();
	}

	/**
	 * Record the arrival of a request.
	 * @param requestClass the name of its class
	 * @param policy the active policy
	 * @param epoch the number of the manifest that activated the policy
	 * @return the meter that counts the further events of the request
	 */
	public RequestMeter requestArrived(String requestClass, String policy, long epoch) {
		RequestMeter meter = new RequestMeter(requestClass, policy, epoch);
		this.arrived.labelValues(requestClass, policy).inc();
		this.queued.labelValues(requestClass).inc();
		meter.tally.requestArrived();
		return meter;
	}

	/**
	 * Counts the attempts and the outcome of one request.
	 * <p>
	 * Not thread safe: belongs to the thread that owns the request.
	 */
	public final class RequestMeter {

		private final String requestClass;

		private final String policy;

		private final ClassResults.Tally tally;

		private int running;

		private int attempts;

		private boolean ended;

		private RequestMeter(String requestClass, String policy, long epoch) {
			this.requestClass = requestClass;
			this.policy = policy;
			this.tally = EntryMetrics.this.results.tally(policy, epoch, requestClass);
		}

		/**
		 * Record that an attempt has started: a hedge if another one is running,
		 * otherwise a retry unless it is the first.
		 */
		public void attemptStarted() {
			if (this.running > 0) {
				EntryMetrics.this.hedges.labelValues(this.requestClass, this.policy).inc();
				this.tally.hedgeStarted();
			}
			else if (this.attempts > 0) {
				EntryMetrics.this.retries.labelValues(this.requestClass, this.policy).inc();
				this.tally.retryStarted();
			}
			if (this.running == 0) {
				move(EntryMetrics.this.queued, EntryMetrics.this.inFlight);
			}
			this.running++;
			this.attempts++;
		}

		/** Record that an attempt has ended. */
		public void attemptEnded() {
			this.running--;
			if (this.running == 0 && !this.ended) {
				move(EntryMetrics.this.inFlight, EntryMetrics.this.queued);
			}
		}

		private void move(Gauge from, Gauge to) {
			from.labelValues(this.requestClass).dec();
			to.labelValues(this.requestClass).inc();
		}

		/**
		 * Record that the first token was forwarded.
		 * @param time the time since arrival
		 */
		public void firstTokenForwarded(Duration time) {
			EntryMetrics.this.firstTokenSeconds.labelValues(this.requestClass).observe(time.toNanos() / 1e9);
		}

		/**
		 * Record that the complete response was forwarded.
		 * @param time the time since arrival
		 * @param targetMet whether the target of the class was met
		 * @param tokens the number of tokens in the response
		 */
		public void responseCompleted(Duration time, boolean targetMet, long tokens) {
			end();
			EntryMetrics.this.answered.labelValues(this.requestClass, this.policy).inc();
			EntryMetrics.this.delivered.labelValues(this.requestClass, this.policy).inc(tokens);
			EntryMetrics.this.responseSeconds.labelValues(this.requestClass).observe(time.toNanos() / 1e9);
			if (targetMet) {
				EntryMetrics.this.met.labelValues(this.requestClass, this.policy).inc();
				EntryMetrics.this.goodput.labelValues(this.requestClass, this.policy).inc(tokens);
			}
			this.tally.responseCompleted(targetMet, tokens);
		}

		/**
		 * Record that the request got no complete response. It counts as refused if no
		 * attempt was started, otherwise as failed.
		 * @param code the reason
		 */
		public void requestFailed(ResultCode code) {
			end();
			EntryMetrics.this.requestRefused(code, this.requestClass);
			if (this.attempts == 0) {
				this.tally.requestRefused();
			}
			else {
				this.tally.requestFailed();
			}
		}

		/**
		 * Record tokens that were received and discarded.
		 * @param tokens the number of tokens
		 */
		public void tokensWasted(long tokens) {
			if (tokens > 0) {
				EntryMetrics.this.wasted.labelValues(this.requestClass, this.policy).inc(tokens);
				this.tally.tokensWasted(tokens);
			}
		}

		private void end() {
			this.ended = true;
			Gauge present = (this.running > 0) ? EntryMetrics.this.inFlight : EntryMetrics.this.queued;
			present.labelValues(this.requestClass).dec();
		}

	}

}
