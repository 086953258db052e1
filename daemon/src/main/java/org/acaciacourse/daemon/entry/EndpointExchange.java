package org.acaciacourse.daemon.entry;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.OptionalInt;

import io.netty.util.concurrent.EventExecutor;
import org.acaciacourse.daemon.endpoint.EndpointCall;
import org.acaciacourse.daemon.endpoint.EventSplitter;

/**
 * One HTTP exchange of an attempt, under an id of its own. Reads the answer and judges
 * whether it belongs to this id and whether it is whole; both must be proven, by the
 * header, by the id inside and by the end mark.
 * <p>
 * Not thread safe: belongs to the event loop of the caller.
 */
final class EndpointExchange implements EndpointCall.Listener {

	private static final int MAX_BODY_BYTES = 32 * 1024 * 1024;

	private static final byte[] DONE_DATA = "[DONE]".getBytes(StandardCharsets.US_ASCII);

	private static final byte[] FINISH_REASON = "\"finish_reason\":\"".getBytes(StandardCharsets.US_ASCII);

	private final Owner owner;

	private final RequestPlan plan;

	private final long number;

	private final String exchangeId;

	private final ResponseIdMatcher idMatcher;

	private final EndpointCall call;

	private final EventSplitter splitter = new EventSplitter();

	private final ByteArrayOutputStream body = new ByteArrayOutputStream(0);

	private Mode mode = Mode.HEAD;

	private EndpointCall.Head responseHead;

	private long nextTokenIndex;

	private long tokenCount;

	private boolean finishReasonSeen;

	private Optional<Boolean> callEnd = Optional.empty();

	private boolean closed;

	EndpointExchange(Owner owner, RequestPlan plan, long number, String exchangeId, long firstTokenIndex,
			EventExecutor executor) {
		this.owner = owner;
		this.plan = plan;
		this.number = number;
		this.exchangeId = exchangeId;
		this.idMatcher = new ResponseIdMatcher(exchangeId);
		this.nextTokenIndex = firstTokenIndex;
		this.call = new EndpointCall(executor, this);
	}

	long number() {
		return this.number;
	}

	String exchangeId() {
		return this.exchangeId;
	}

	ResponseIdMatcher idMatcher() {
		return this.idMatcher;
	}

	EndpointCall call() {
		return this.call;
	}

	EndpointCall.Head responseHead() {
		return this.responseHead;
	}

	byte[] responseBody() {
		return this.body.toByteArray();
	}

	/**
	 * Return how many tokens came, passed on or not.
	 * @return the number of tokens
	 */
	long tokenCount() {
		return this.tokenCount;
	}

	long nextTokenIndex() {
		return this.nextTokenIndex;
	}

	boolean isStream() {
		return this.mode == Mode.STREAM;
	}

	/**
	 * Give the exchange up.
	 * @return whether a byte of the request may have been sent
	 */
	boolean close() {
		this.closed = true;
		return this.call.release();
	}

	@Override
	public void paused() {
		this.owner.paused();
	}

	@Override
	public void head(EndpointCall from, EndpointCall.Head received) {
		if (this.closed) {
			return;
		}
		this.responseHead = received;
		int status = received.status();
		if (status == 503 && this.exchangeId.equals(received.header("x-not-run"))) {
			this.mode = Mode.DISCARD;
			finish(Outcome.REFUSED);
		}
		else if (!this.exchangeId.equals(received.header("x-request-id"))) {
			finish(Outcome.MISMATCH);
		}
		else if (!this.plan.isModel()) {
			this.mode = Mode.BODY;
		}
		else if (status == 409) {
			finish(Outcome.CANNOT_RESUME);
		}
		else if (status >= 500 || status == 429) {
			finish(Outcome.ERROR);
		}
		else if (status != 200 || !this.plan.outboundRequest().stream()) {
			this.mode = Mode.BODY;
		}
		else if (received.header("content-type").startsWith("text/event-stream")) {
			this.mode = Mode.STREAM;
		}
		else {
			finish(Outcome.ERROR);
		}
	}

	@Override
	public void readable(EndpointCall from) {
		boolean any = false;
		while (this.closed || this.owner.isWritable()) {
			Optional<byte[]> chunk = this.call.poll();
			if (chunk.isEmpty()) {
				break;
			}
			any = true;
			processChunk(chunk.get());
		}
		if (any && !this.closed) {
			this.owner.progress(this);
		}
		finishIfDrained();
	}

	/** Go on reading once the caller takes data again. */
	void resumeReading() {
		readable(this.call);
	}

	private void processChunk(byte[] chunk) {
		if (this.closed || this.mode == Mode.DISCARD) {
			return;
		}
		if (this.mode == Mode.STREAM) {
			if (!this.splitter.feed(chunk, this::handleEvent) && !this.closed) {
				finish(Outcome.BROKEN);
			}
		}
		else if (this.body.size() + chunk.length > MAX_BODY_BYTES) {
			finish(Outcome.BROKEN);
		}
		else {
			this.body.writeBytes(chunk);
		}
	}

	private boolean handleEvent(long eventId, byte[] buffer, int start, int end) {
		if (Arrays.equals(buffer, start, end, DONE_DATA, 0, DONE_DATA.length)) {
			finish(Outcome.COMPLETE);
			return false;
		}
		OptionalInt idStart = this.idMatcher.findId(buffer, start, end);
		if (idStart.isEmpty()) {
			finish(Outcome.MISMATCH);
			return false;
		}
		long index = (eventId >= 0) ? eventId : this.nextTokenIndex;
		this.nextTokenIndex = index + 1;
		this.tokenCount++;
		this.finishReasonSeen |= contains(buffer, start, end, FINISH_REASON);
		if (!this.owner.acceptToken(this, index, new EventData(buffer, start, end, idStart.getAsInt()))) {
			finish(Outcome.BROKEN);
			return false;
		}
		return true;
	}

	private static boolean contains(byte[] buffer, int start, int end, byte[] text) {
		for (int i = end - text.length; i >= start; i--) {
			if (buffer[i] == text[0] && Arrays.equals(buffer, i, i + text.length, text, 0, text.length)) {
				return true;
			}
		}
		return false;
	}

	@Override
	public void ended(EndpointCall from, boolean complete) {
		this.callEnd = Optional.of(complete);
		readable(from);
	}

	private void finishIfDrained() {
		if (this.closed || this.callEnd.isEmpty() || !this.owner.isWritable()) {
			return;
		}
		if (!this.call.maySent()) {
			finish(Outcome.NOT_SENT);
		}
		else if (this.mode == Mode.STREAM) {
			finish((this.finishReasonSeen) ? Outcome.COMPLETE : Outcome.BROKEN);
		}
		else if (!this.callEnd.get() || this.mode != Mode.BODY) {
			finish(Outcome.BROKEN);
		}
		else {
			finish(checkBody());
		}
	}

	private Outcome checkBody() {
		if (!this.plan.isModel()) {
			return Outcome.COMPLETE;
		}
		if (this.responseHead.status() != 200) {
			return Outcome.REJECTED;
		}
		byte[] bytes = responseBody();
		Optional<Long> counted = CompletionTokenCounter.count(bytes);
		if (counted.isEmpty()) {
			return Outcome.BROKEN;
		}
		this.tokenCount = counted.get();
		return (this.idMatcher.findId(bytes, 0, bytes.length).isPresent()) ? Outcome.COMPLETE : Outcome.MISMATCH;
	}

	private void finish(Outcome outcome) {
		if (this.closed) {
			return;
		}
		this.closed = true;
		if (outcome == Outcome.MISMATCH || outcome == Outcome.BROKEN || outcome == Outcome.ERROR) {
			this.call.close();
		}
		this.owner.exchangeEnded(this, outcome);
	}

	/**
	 * How an exchange ended.
	 */
	enum Outcome {

		/** The whole answer came, under the right id. */
		COMPLETE,

		/** No byte was sent. */
		NOT_SENT,

		/** The endpoint said, under the right id, that it did not run the request. */
		REFUSED,

		/** The engine can't go on with the broken answer. */
		CANNOT_RESUME,

		/** The engine refused the request itself. */
		REJECTED,

		/** The engine answered with an error of its own. */
		ERROR,

		/** The answer carries another id. */
		MISMATCH,

		/** The answer is not whole. */
		BROKEN

	}

	private enum Mode {

		HEAD, STREAM, BODY, DISCARD

	}

	/**
	 * The data of an event; valid during a call only.
	 *
	 * @param buffer holds the data
	 * @param start where they start
	 * @param end where they end
	 * @param idStart where the id of the attempt stands
	 */
	record EventData(byte[] buffer, int start, int end, int idStart) {
	}

	/**
	 * Gets what an exchange yields.
	 */
	interface Owner {

		/** Reading was paused for a slow caller. Called on the HTTP client's thread. */
		void paused();

		/**
		 * Return whether the caller takes data.
		 * @return whether to read on
		 */
		boolean isWritable();

		/**
		 * A token came.
		 * @param exchange the exchange
		 * @param index its place in the whole answer
		 * @param eventData the event
		 * @return false if the answer can't be used
		 */
		boolean acceptToken(EndpointExchange exchange, long index, EventData eventData);

		/**
		 * All that waited was read.
		 * @param exchange the exchange
		 */
		void progress(EndpointExchange exchange);

		/**
		 * The exchange ended.
		 * @param exchange the exchange
		 * @param outcome how
		 */
		void exchangeEnded(EndpointExchange exchange, Outcome outcome);

	}

}
