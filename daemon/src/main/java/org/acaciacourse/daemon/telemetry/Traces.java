package org.acaciacourse.daemon.telemetry;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.opentelemetry.api.OpenTelemetry;
import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.api.common.Attributes;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import io.opentelemetry.exporter.logging.LoggingSpanExporter;
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter;
import io.opentelemetry.sdk.OpenTelemetrySdk;
import io.opentelemetry.sdk.resources.Resource;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.SpanProcessor;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import org.acaciacourse.core.settings.SettingKey;
import org.acaciacourse.core.settings.Settings;

/**
 * Spans for each hop of a request, exported as configured in the settings. Without an
 * exporter the trace context of the caller is still propagated.
 * <p>
 * Thread safe.
 */
public final class Traces implements AutoCloseable {

	private static final String TRACEPARENT = "traceparent";

	private static final W3CTraceContextPropagator PROPAGATOR = W3CTraceContextPropagator.getInstance();

	private final Optional<OpenTelemetrySdk> sdk;

	private final Tracer tracer;

	private Traces(Optional<OpenTelemetrySdk> sdk) {
		this.sdk = sdk;
		OpenTelemetry telemetry = sdk.<OpenTelemetry>map((s) -> s).orElseGet(OpenTelemetry::noop);
		this.tracer = telemetry.getTracer("org.acaciacourse");
	}

	/**
	 * Create the traces of a process.
	 * @param settings its settings
	 * @return the traces
	 */
	public static Traces of(Settings settings) {
		return switch (settings.text(SettingKey.TRACES_EXPORTER)) {
			case "otlp" -> new Traces(Optional.of(sdk(settings, otlp(settings))));
			case "log" ->
				new Traces(Optional.of(sdk(settings, SimpleSpanProcessor.create(LoggingSpanExporter.create()))));
			default -> new Traces(Optional.empty());
		};
	}

	/**
	 * Create traces that export each span as soon as it ends.
	 * @param settings the settings of the process
	 * @param exporter the exporter
	 * @return the traces
	 */
	public static Traces of(Settings settings, SpanExporter exporter) {
		return new Traces(Optional.of(sdk(settings, SimpleSpanProcessor.create(exporter))));
	}

	private static SpanProcessor otlp(Settings settings) {
		String address = settings.text(SettingKey.TRACES_ENDPOINT);
		return BatchSpanProcessor.builder(OtlpHttpSpanExporter.builder().setEndpoint(address).build()).build();
	}

	private static OpenTelemetrySdk sdk(Settings settings, SpanProcessor processor) {
		Attributes attributes = Attributes.of(AttributeKey.stringKey("service.name"), "acaciacourse",
				AttributeKey.stringKey("service.instance.id"), settings.text(SettingKey.VM_NAME));
		SdkTracerProvider provider = SdkTracerProvider.builder()
			.setResource(Resource.getDefault().merge(Resource.create(attributes)))
			.addSpanProcessor(processor)
			.build();
		return OpenTelemetrySdk.builder().setTracerProvider(provider).build();
	}

	/**
	 * Start the span of an incoming request.
	 * @param name the name of the hop
	 * @param traceparent the trace context received with it, empty for none
	 * @return the span, which the calling code must end
	 */
	public Span startServerSpan(String name, String traceparent) {
		Context parent = PROPAGATOR.extract(Context.root(), traceparent, SingleHeader.INSTANCE);
		return this.tracer.spanBuilder(name).setParent(parent).setSpanKind(SpanKind.SERVER).startSpan();
	}

	/**
	 * Start the span of a hop within a request.
	 * @param name the name of the hop
	 * @param parent the parent span
	 * @return the span, which the calling code must end
	 */
	public Span startChildSpan(String name, Span parent) {
		return this.tracer.spanBuilder(name).setParent(Context.root().with(parent)).startSpan();
	}

	/**
	 * Return the trace context to send with an outgoing request.
	 * @param span the span
	 * @return the value of the header, empty without a trace
	 */
	public static String traceparent(Span span) {
		Map<String, String> carrier = new HashMap<>(4);
		PROPAGATOR.inject(Context.root().with(span), carrier, Map::put);
		return carrier.getOrDefault(TRACEPARENT, "");
	}

	@Override
	public void close() {
		this.sdk.ifPresent(OpenTelemetrySdk::close);
	}

	/** Presents the value of the traceparent header as a carrier with that one header. */
	private enum SingleHeader implements TextMapGetter<String> {

		INSTANCE;

		@Override
		public Iterable<String> keys(String carrier) {
			return java.util.List.of(TRACEPARENT);
		}

		@Override
		public String get(String carrier, String key) {
			return TRACEPARENT.equals(key) ? carrier : null;
		}

	}

}
