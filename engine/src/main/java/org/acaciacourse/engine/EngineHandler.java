package org.acaciacourse.engine;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalInt;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;

/**
 * Answers the calls of the protocol of the endpoints.
 * <p>
 * Thread safe: shared by all connections, its state is in thread-safe parts.
 */
@ChannelHandler.Sharable
final class EngineHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

	private static final String REQUESTS = "/v1/requests/";

	private static final String CANCEL = "/cancel";

	private final ObjectMapper mapper = new ObjectMapper();

	private final AtomicReference<Prompt> previous = new AtomicReference<>();

	private final AtomicInteger serviceCalls = new AtomicInteger();

	private final EngineOptions options;

	private final Batch batch;

	private final PrefixCache cache;

	private final Orders orders;

	private final RunLog runLog;

	private final ChannelGroup connections;

	EngineHandler(EngineOptions options, Batch batch, PrefixCache cache, RunLog runLog, ChannelGroup connections) {
		this.options = options;
		this.batch = batch;
		this.cache = cache;
		this.orders = new Orders(options.models(), options.checksFencing());
		this.runLog = runLog;
		this.connections = connections;
	}

	boolean hasPendingWrites() {
		return this.connections.stream()
			.map((channel) -> channel.unsafe().outboundBuffer())
			.anyMatch((buffer) -> buffer != null && buffer.totalPendingWriteBytes() > 0);
	}

	int serviceCalls() {
		return this.serviceCalls.get();
	}

	@Override
	public void channelActive(ChannelHandlerContext ctx) {
		this.connections.add(ctx.channel());
		ctx.fireChannelActive();
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		ctx.close();
	}

	@Override
	protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) throws IOException {
		if (ctx.channel().hasAttr(ChannelSink.SILENT)) {
			return;
		}
		Call call = new Call(ctx.channel(), request, new QueryStringDecoder(request.uri()));
		switch (request.method() + " " + call.path()) {
			case "GET /load" -> call.answer(200, this.batch.loadReport());
			case "GET /runs" -> call.answer(200, this.runLog.all());
			case "POST /faults" -> faults(call);
			case "GET /orders" -> call.answer(200, this.orders.state());
			case "POST /orders" -> order(call);
			case "GET /cache/events" -> cacheEvents(call);
			case "GET /v1/models" -> call.answer(200, models());
			case "POST /v1/chat/completions" -> complete(call);
			default -> other(call);
		}
	}

	private void other(Call call) throws IOException {
		String path = call.path();
		if (path.startsWith(REQUESTS) && call.request.method().equals(HttpMethod.POST) && path.endsWith(CANCEL)) {
			String id = path.substring(REQUESTS.length(), path.length() - CANCEL.length());
			this.batch.cancel(id, () -> call.answer(200, requestState(id)));
		}
		else if (path.startsWith(REQUESTS)) {
			call.answer(200, requestState(path.substring(REQUESTS.length())));
		}
		else if (this.options.service()) {
			serve(call);
		}
		else {
			call.answer(404, JsonNodeFactory.instance.objectNode().put("error", "no such path"));
		}
	}

	private void faults(Call call) throws IOException {
		JsonNode json = this.mapper.readTree(call.body());
		this.batch.faults(Faults.of(json));
		if (json.path("silent").asBoolean(false)) {
			this.connections.stream()
				.filter((channel) -> channel != call.channel)
				.forEach((channel) -> channel.attr(ChannelSink.SILENT).set(true));
		}
		call.answer(200, JsonNodeFactory.instance.objectNode());
	}

	private void order(Call call) throws IOException {
		boolean obeyed = this.orders.take(this.mapper.readTree(call.body()));
		call.answer((obeyed) ? 200 : 409, this.orders.state());
	}

	private void cacheEvents(Call call) {
		long since = call.query.parameters()
			.getOrDefault("since", List.of("0"))
			.stream()
			.mapToLong(Long::parseLong)
			.findFirst()
			.orElse(0);
		call.answer(200, this.cache.eventsSince(since, System.nanoTime()));
	}

	private ObjectNode models() {
		ObjectNode answer = JsonNodeFactory.instance.objectNode().put("object", "list");
		ArrayNode data = answer.withArray("data");
		this.orders.loaded().forEach((model) -> data.addObject().put("id", model).put("object", "model"));
		return answer;
	}

	private ObjectNode requestState(String id) {
		ObjectNode state = JsonNodeFactory.instance.objectNode().put("id", id);
		Run run = this.batch.find(id).orElse(null);
		state.put("state", (run != null) ? run.state().label() : "unknown");
		return state.put("tokens", (run != null) ? run.produced() : 0);
	}

	private void complete(Call call) throws IOException {
		JsonNode json = this.mapper.readTree(call.body());
		JsonNode messages = json.path("messages");
		if (!messages.isArray() || messages.isEmpty()) {
			call.answer(400, JsonNodeFactory.instance.objectNode().put("error", "no messages"));
			return;
		}
		String content = messages.get(messages.size() - 1).path("content").asText();
		OptionalInt length = (json.has("max_tokens")) ? OptionalInt.of(json.get("max_tokens").asInt())
				: OptionalInt.empty();
		Prompt prompt = new Prompt(call.id, call.header("Idempotency-Key"), content, call.header("X-Prefix"),
				call.number("X-Priority", 0), AnswerText.tokens(content, length));
		start(call, prompt, json.path("stream").asBoolean(false));
	}

	private void start(Call call, Prompt prompt, boolean streamed) {
		Faults faults = this.batch.faults();
		Prompt before = this.previous.getAndSet(prompt);
		if (faults.swap() && before != null) {
			ChannelSink swapped = new ChannelSink(call.channel, before.id(), streamed, faults);
			this.batch.submit(new Run(prompt.withTokens(before.tokens())), swapped, call::notRun);
			return;
		}
		ChannelSink sink = new ChannelSink(call.channel, call.id, streamed, faults);
		String resumeOf = call.header("X-Resume-Of");
		if (resumeOf.isEmpty()) {
			this.batch.submit(new Run(prompt), sink, call::notRun);
			return;
		}
		this.batch.resume(call.id, resumeOf, call.number("X-Resume-From", 0), sink,
				() -> call.answer(409, JsonNodeFactory.instance.objectNode().put("error", "cannot resume")));
	}

	private void serve(Call call) {
		Faults faults = this.batch.faults();
		String body = call.body();
		this.runLog.add(call.id, call.header("Idempotency-Key"), body, false);
		if (faults.crashes(body)) {
			Runtime.getRuntime().halt(Batch.CRASH_STATUS);
		}
		ObjectNode answer = JsonNodeFactory.instance.objectNode().put("id", call.id);
		answer.put("method", call.request.method().name()).put("path", call.path()).put("echo", body);
		this.serviceCalls.incrementAndGet();
		long millis = (long) (this.options.serviceMillis() * faults.slow()) + faults.lateMillis();
		call.channel.eventLoop().schedule(() -> {
			call.answer(200, answer);
			this.serviceCalls.decrementAndGet();
		}, millis, TimeUnit.MILLISECONDS);
	}

	/** One call: what was asked and where the answer goes. */
	private static final class Call {

		private final Channel channel;

		private final FullHttpRequest request;

		private final QueryStringDecoder query;

		private final String id;

		private final String content;

		private Call(Channel channel, FullHttpRequest request, QueryStringDecoder query) {
			this.channel = channel;
			this.request = request;
			this.query = query;
			String given = header("X-Request-Id");
			this.id = (given.isEmpty()) ? UUID.randomUUID().toString() : given;
			this.content = request.content().toString(StandardCharsets.UTF_8);
		}

		private String path() {
			return this.query.path();
		}

		private String body() {
			return this.content;
		}

		private String header(String name) {
			return this.request.headers().get(name, "");
		}

		private int number(String name, int defaultValue) {
			String value = header(name);
			return (value.matches("[0-9]{1,9}")) ? Integer.parseInt(value) : defaultValue;
		}

		private void notRun() {
			FullHttpResponse response = response(503, "{\"error\":\"not run\"}");
			response.headers().set("X-Not-Run", this.id);
			write(response);
		}

		private void answer(int status, JsonNode json) {
			write(response(status, json.toString()));
		}

		private FullHttpResponse response(int status, String json) {
			FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
					HttpResponseStatus.valueOf(status), Unpooled.copiedBuffer(json, StandardCharsets.UTF_8));
			response.headers().set("X-Request-Id", this.id).set(HttpHeaderNames.CONTENT_TYPE, "application/json");
			HttpUtil.setContentLength(response, response.content().readableBytes());
			return response;
		}

		private void write(FullHttpResponse response) {
			this.channel.eventLoop().execute(() -> ChannelSink.writeNow(this.channel, response));
		}

	}

}
