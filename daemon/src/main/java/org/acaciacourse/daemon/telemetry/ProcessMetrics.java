package org.acaciacourse.daemon.telemetry;

import io.netty.buffer.UnpooledByteBufAllocator;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * Memory and log metrics of a process, the memory metrics under the names that Prometheus
 * uses. The values are read directly when the metrics are collected: the instrumentation
 * library reads them through JMX, whose classes would be loaded at each start.
 * <p>
 * Thread safe: it has no state.
 */
public final class ProcessMetrics {

	private ProcessMetrics() {
	}

	/**
	 * Register the metrics of this process.
	 * @param registry the registry
	 */
	public static void register(PrometheusRegistry registry) {
		GaugeWithCallback.builder()
			.name("jvm_memory_used_bytes")
			.help("Used bytes of a memory area")
			.labelNames("area")
			.callback((callback) -> callback.call(heapBytes(), "heap"))
			.register(registry);
		GaugeWithCallback.builder()
			.name("jvm_buffer_pool_used_bytes")
			.help("Used bytes of the buffers of connections")
			.labelNames("pool")
			.callback((callback) -> {
				callback.call(UnpooledByteBufAllocator.DEFAULT.metric().usedDirectMemory(), "direct");
				callback.call(UnpooledByteBufAllocator.DEFAULT.metric().usedHeapMemory(), "heap");
			})
			.register(registry);
		CounterWithCallback.builder()
			.name("acaciacourse_log_lines_dropped_total")
			.help("Lines of the log that were dropped as nobody took them")
			.callback((callback) -> callback.call(LogQueue.installed().map(LogQueue::dropped).orElse(0L)))
			.register(registry);
	}

	private static long heapBytes() {
		return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
	}

}
