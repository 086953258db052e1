package org.acaciacourse.daemon.route;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import org.acaciacourse.core.path.EndpointLink;
import org.acaciacourse.core.path.LinkSign;
import org.acaciacourse.core.path.PathLinks;
import org.acaciacourse.core.route.FleetEndpoint;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Tests of the connection to an endpoint; the bytes that arrive with one read are chosen
 * by the test.
 */
class EndpointConnectionTests {

	private static final FleetEndpoint ENDPOINT = new FleetEndpoint("i-1", "desk", "127.0.0.1:1", "dc", 8, false);

	private final EndpointLink link = new PathLinks(new PathLinks.Listener() {

		@Override
		public void linkLost(String endpoint, LinkSign sign, int lost, int known) {
		}

		@Override
		public void linkRegained(String endpoint, long lostNanos) {
		}

		@Override
		public void pathDoubted(int lost, int known) {
		}

	}).link("i-1");

	private EndpointConnection connection;

	private final List<String> received = new ArrayList<>();

	private EmbeddedChannel channel;

	@BeforeEach
	void connect() {
		this.connection = new EndpointConnection(ENDPOINT, this.link, Optional.empty(), (closed) -> {
		});
		this.channel = new EmbeddedChannel();
		EndpointConnector.addHttp(this.channel, this.connection);
	}

	@AfterEach
	void close() {
		this.channel.finishAndReleaseAll();
	}

	private void send(HttpMethod method, String id) {
		send(method, id, new Recorder(id));
	}

	private void send(HttpMethod method, String id, EndpointConnection.Listener listener) {
		FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/");
		this.connection.send(request, id, listener);
	}

	private void arrive(String text) {
		this.channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
	}

	private static String response(String id) {
		return "HTTP/1.1 200 X\r\nRequest-Id: " + id + "\r\nContent-Length: 2\r\n\r\n{}";
	}

	@Nested
	class DataBehindAResponse {

		// Guards against a second response in the same read that is taken for that to a
		// request which is sent as soon as the first one is complete.
		@Test
		void nextRequestIsNotSentBeforeItWasRead() {
			send(HttpMethod.POST, "one", new Recorder("one") {

				@Override
				public void responseComplete(boolean reusable) {
					super.responseComplete(reusable);
					if (reusable) {
						send(HttpMethod.POST, "two");
					}
				}

			});
			arrive(response("one") + response("one"));
			assertThat(EndpointConnectionTests.this.received).containsExactly("one: head one", "one: complete, closed")
				.inOrder();
			assertThat(EndpointConnectionTests.this.channel.isActive()).isFalse();
		}

		// Guards against the beginning of a second response that is kept, and read as the
		// beginning of the response to the next request.
		@ParameterizedTest
		@ValueSource(strings = { "H", "HTTP/1.1 421 ", "HTTP/1.1 421 X\r\n", "HTTP/1.1 421 X\r\nNot-Executed: f",
				"HTTP/1.1 421 X\r\nNot-Executed: full\r\n" })
		void nextRequestIsNotSentBehindAPartOfAHead(String part) {
			send(HttpMethod.POST, "one");
			arrive(response("one") + part);
			assertThat(EndpointConnectionTests.this.received).containsExactly("one: head one", "one: complete, closed")
				.inOrder();
			assertThat(EndpointConnectionTests.this.channel.isActive()).isFalse();
		}

		// Guards against the same where the beginning comes by itself.
		@ParameterizedTest
		@ValueSource(strings = { "H", "HTTP/1.1 421 ", "HTTP/1.1 421 X\r\n", "HTTP/1.1 421 X\r\nNot-Executed: f",
				"HTTP/1.1 421 X\r\nNot-Executed: full\r\n" })
		void partOfAHeadEndsAnIdleConnection(String part) {
			send(HttpMethod.POST, "one");
			arrive(response("one"));
			arrive(part);
			assertThat(EndpointConnectionTests.this.received)
				.containsExactly("one: head one", "one: complete, reusable")
				.inOrder();
			assertThat(EndpointConnectionTests.this.channel.isActive()).isFalse();
		}

		@Test
		void responseMayArriveInParts() {
			send(HttpMethod.POST, "one");
			for (char c : response("one").toCharArray()) {
				arrive(Character.toString(c));
			}
			send(HttpMethod.POST, "two");
			arrive(response("two"));
			assertThat(EndpointConnectionTests.this.received)
				.containsExactly("one: head one", "one: complete, reusable", "two: head two", "two: complete, reusable")
				.inOrder();
		}

		@Test
		void connectionIsReusedWithoutIt() {
			send(HttpMethod.POST, "one");
			arrive(response("one"));
			send(HttpMethod.POST, "two");
			arrive(response("two"));
			assertThat(EndpointConnectionTests.this.received)
				.containsExactly("one: head one", "one: complete, reusable", "two: head two", "two: complete, reusable")
				.inOrder();
		}

	}

	@Nested
	class LateResponses {

		@Test
		void responseToThePreviousRequestIsDiscarded() {
			send(HttpMethod.POST, "one");
			arrive(response("one"));
			send(HttpMethod.POST, "two");
			arrive(response("one") + response("two"));
			assertThat(EndpointConnectionTests.this.received)
				.containsExactly("one: head one", "one: complete, reusable", "two: discarded one", "two: head two",
						"two: complete, closed")
				.inOrder();
		}

		// Guards against a discarded response whose length, without a body, takes in the
		// response that follows it.
		@Test
		void responseToHeadIsNotDiscarded() {
			send(HttpMethod.HEAD, "one");
			arrive("HTTP/1.1 200 X\r\nRequest-Id: one\r\nContent-Length: 2\r\n\r\n");
			send(HttpMethod.POST, "two");
			arrive("HTTP/1.1 200 X\r\nRequest-Id: one\r\nContent-Length: 2\r\n\r\n" + response("two"));
			assertThat(EndpointConnectionTests.this.received).containsAtLeast("one: complete, reusable",
					"two: mismatch one");
			assertThat(EndpointConnectionTests.this.channel.isActive()).isFalse();
		}

		// Guards against a request that is given up though its own response follows late
		// ones.
		@Test
		void responsesToEarlierRequestsAreDiscarded() {
			for (String id : List.of("one", "two", "three")) {
				send(HttpMethod.POST, id);
				arrive(response(id));
			}
			send(HttpMethod.POST, "four");
			arrive(response("two") + response("three") + response("two") + response("one") + response("four"));
			List<String> atFour = EndpointConnectionTests.this.received.stream()
				.filter((line) -> line.startsWith("four"))
				.toList();
			assertThat(atFour)
				.containsExactly("four: discarded two", "four: discarded three", "four: discarded two",
						"four: discarded one", "four: head four", "four: complete, closed")
				.inOrder();
		}

		// Guards against late responses without end in whose place nothing else can come.
		@Test
		void numberOfDiscardedResponsesIsBounded() {
			send(HttpMethod.POST, "one");
			arrive(response("one"));
			send(HttpMethod.POST, "two");
			int enough = 100;
			arrive(response("one").repeat(enough));
			long discarded = EndpointConnectionTests.this.received.stream()
				.filter("two: discarded one"::equals)
				.count();
			assertThat(discarded).isEqualTo(8);
			assertThat(EndpointConnectionTests.this.received).contains("two: mismatch one");
			assertThat(EndpointConnectionTests.this.channel.isActive()).isFalse();
		}

		@Test
		void responseUnderAnUnknownIdIsNotDiscarded() {
			send(HttpMethod.POST, "one");
			arrive(response("one"));
			send(HttpMethod.POST, "two");
			arrive(response("other") + response("two"));
			assertThat(EndpointConnectionTests.this.received).contains("two: mismatch other");
			assertThat(EndpointConnectionTests.this.channel.isActive()).isFalse();
		}

		// Guards against a discarded response whose length, without a body, takes in the
		// response that follows it, also where others were sent since.
		@Test
		void responseToAnEarlierHeadIsNotDiscarded() {
			send(HttpMethod.HEAD, "one");
			arrive("HTTP/1.1 200 X\r\nRequest-Id: one\r\nContent-Length: 2\r\n\r\n");
			send(HttpMethod.POST, "two");
			arrive(response("two"));
			send(HttpMethod.POST, "three");
			arrive("HTTP/1.1 200 X\r\nRequest-Id: one\r\nContent-Length: 2\r\n\r\n" + response("three"));
			assertThat(EndpointConnectionTests.this.received).contains("three: mismatch one");
			assertThat(EndpointConnectionTests.this.channel.isActive()).isFalse();
		}

		// Guards against a late response that is read as one to HEAD, without its body,
		// and a response to HEAD whose body is waited for after it.
		@Test
		void nothingIsDiscardedInPlaceOfAResponseToHead() {
			send(HttpMethod.POST, "one");
			arrive(response("one"));
			send(HttpMethod.HEAD, "two");
			arrive(response("one") + "HTTP/1.1 200 X\r\nRequest-Id: two\r\nContent-Length: 2\r\n\r\n");
			assertThat(EndpointConnectionTests.this.received)
				.containsExactly("one: head one", "one: complete, reusable", "two: mismatch one")
				.inOrder();
			assertThat(EndpointConnectionTests.this.channel.isActive()).isFalse();
		}

		// Guards against a response that is waited for behind one that takes in all that
		// follows.
		@Test
		void responseThatEndsWithItsConnectionIsNotDiscarded() {
			send(HttpMethod.POST, "one");
			arrive(response("one"));
			send(HttpMethod.POST, "two");
			arrive("HTTP/1.1 200 X\r\nRequest-Id: one\r\n\r\n{}" + response("two"));
			assertThat(EndpointConnectionTests.this.received).contains("two: mismatch one");
			assertThat(EndpointConnectionTests.this.channel.isActive()).isFalse();
		}

		// Guards against a request that is given up as a late response has no body, and
		// so no length.
		@Test
		void responseThatHasNoBodyIsDiscarded() {
			String empty = "HTTP/1.1 204 X\r\nRequest-Id: one\r\n\r\n";
			send(HttpMethod.POST, "one");
			arrive(response("one"));
			send(HttpMethod.POST, "two");
			arrive(empty + response("two"));
			assertThat(EndpointConnectionTests.this.received)
				.containsAtLeast("two: discarded one", "two: head two", "two: complete, closed")
				.inOrder();
		}

		// Guards against a request that is given up as a late response announces the end
		// of the connection.
		@Test
		void responseThatAnnouncesTheEndIsDiscarded() {
			send(HttpMethod.POST, "one");
			arrive(response("one"));
			send(HttpMethod.POST, "two");
			arrive(response("one").replace("Content-Length", "Connection: close\r\nContent-Length") + response("two"));
			assertThat(EndpointConnectionTests.this.received)
				.containsAtLeast("two: discarded one", "two: head two", "two: complete, closed")
				.inOrder();
		}

		@Test
		void informationalResponsesChangeNothing() {
			String informational = "HTTP/1.1 103 X\r\nRequest-Id: one\r\n\r\n";
			send(HttpMethod.POST, "one");
			arrive(response("one"));
			send(HttpMethod.POST, "two");
			arrive(informational + response("one") + informational + response("two"));
			assertThat(EndpointConnectionTests.this.received)
				.containsExactly("one: head one", "one: complete, reusable", "two: discarded one", "two: head two",
						"two: complete, closed")
				.inOrder();
		}

		// Guards against a service that fails as it states the status of another one.
		@Test
		void headerWithAStatusLineIsNoFaultOnANewConnection() {
			send(HttpMethod.POST, "one");
			arrive(response("one").replace("Content-Length", "Upstream: HTTP/1.1 200 OK\r\nContent-Length"));
			assertThat(EndpointConnectionTests.this.received).containsExactly("one: head one", "one: complete, closed")
				.inOrder();
		}

		// Guards against a part of a late response that is read together with the
		// response
		// that follows it, as a response to the request in flight with another status.
		@ParameterizedTest
		@ValueSource(strings = { "Request-Id: one\r\nNot-Executed: full\r\nContent-Length: 0\r\n\r\n",
				"Not-Executed: full\r\nContent-Length: 0\r\nRequest-Id: one\r\n\r\n" })
		void partOfALateResponseDoesNotChangeTheResponseBehindIt(String headers) throws Exception {
			String late = "HTTP/1.1 421 Misdirected Request\r\n" + headers;
			for (int length = 1; length < late.length(); length++) {
				close();
				connect();
				send(HttpMethod.POST, "one");
				arrive(response("one"));
				List<String> rejected = new ArrayList<>();
				send(HttpMethod.POST, "two", new Recorder("two") {

					@Override
					public void headReceived(HttpResponse head) {
						boolean own = head.headers().get("Request-Id").equals("two");
						if (own && (head.status().code() != 200 || head.headers().contains("Not-Executed"))) {
							rejected.add(head.toString());
						}
						super.headReceived(head);
					}

				});
				arrive(late.substring(0, length));
				arrive(response("two"));
				assertWithMessage("after " + late.substring(0, length)).that(rejected).isEmpty();
			}
		}

		// Guards against a connection that carries other data than responses from then
		// on, and on which a response is waited for.
		@Test
		void switchToAnotherProtocolEndsTheConnection() {
			send(HttpMethod.POST, "one");
			arrive("HTTP/1.1 101 X\r\nUpgrade: other\r\nConnection: upgrade\r\n\r\n" + response("one"));
			assertThat(EndpointConnectionTests.this.received).containsExactly("one: failed");
			assertThat(EndpointConnectionTests.this.channel.isActive()).isFalse();
		}

		@Test
		void sameRequestMayNotFollow() {
			send(HttpMethod.POST, "one");
			arrive(response("one"));
			assertThat(EndpointConnectionTests.this.connection.hasCarried("one")).isTrue();
			assertThat(EndpointConnectionTests.this.connection.hasCarried("two")).isFalse();
			send(HttpMethod.POST, "two");
			arrive(response("two"));
			assertThat(EndpointConnectionTests.this.connection.hasCarried("one")).isTrue();
			assertThat(EndpointConnectionTests.this.connection.hasCarried("two")).isTrue();
		}

	}

	/** Records what a listener is told, and checks ids as an attempt does. */
	private class Recorder implements EndpointConnection.Listener {

		private final String request;

		Recorder(String request) {
			this.request = request;
		}

		private void record(String what) {
			EndpointConnectionTests.this.received.add(this.request + ": " + what);
		}

		@Override
		public void headReceived(HttpResponse head) {
			String id = head.headers().get("Request-Id");
			if (id.equals(this.request)) {
				record("head " + id);
			}
			else if (EndpointConnectionTests.this.connection.tryDiscard(id)) {
				record("discarded " + id);
			}
			else {
				record("mismatch " + id);
				EndpointConnectionTests.this.connection.abandon();
			}
		}

		@Override
		public void contentReceived(ByteBuf bytes) {
		}

		@Override
		public void readComplete() {
		}

		@Override
		public void responseComplete(boolean reusable) {
			record("complete, " + ((reusable) ? "reusable" : "closed"));
		}

		@Override
		public void connectionFailed() {
			record("failed");
		}

	}

}
