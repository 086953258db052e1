package org.acaciacourse.daemon.telemetry;

import java.util.function.DoubleSupplier;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * Registers gauges whose value is computed when the metrics are read.
 * <p>
 * Thread safe: it has no state.
 */
public final class Gauges {

	private Gauges() {
	}

	/**
	 * Register a gauge without labels.
	 * @param registry the registry
	 * @param name the name
	 * @param help the help text
	 * @param value supplies the value, on the thread that reads the metrics
	 */
	public static void register(PrometheusRegistry registry, String name, String help, DoubleSupplier value) {
		GaugeWithCallback.builder()
			.name(name)
			.help(help)
			.callback((callback) -> callback.call(value.getAsDouble()))
			.register(registry);
	}

}
