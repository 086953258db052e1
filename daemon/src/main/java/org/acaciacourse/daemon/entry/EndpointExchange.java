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
 * One HTTP exchange of an attempt, with an id of its own. Reads the response and checks
 * that it belongs to this id and that it is complete. Both must be proven: by the
 * response header, by the id in the body and by the end of the body or stream.
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
	 * Return the number of received tokens, forwarded or not.
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
	 * Abandon the exchange.
	 * @return whether any byte of the request may have been sent
	 */
	boolean close() {
		this.closed = true;
		return this.call.release();
	}

	@Override
	public void readingPaused() {
		this.owner.paused();
	}

	@Override
	public void headReceived(EndpointCall from, EndpointCall.Head received) {
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
	public void chunksAvailable(EndpointCall from) {
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

	/** Resume reading when the caller is writable again. */
	void resumeReading() {
		chunksAvailable(this.call);
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
	public void callEnded(EndpointCall from, boolean complete) {
		this.callEnd = Optional.of(complete);
		chunksAvailable(from);
	}

	private void finishIfDrained() {
		if (this.closed || this.callEnd.isEmpty() || !this.owner.isWritable()) {
			return;
		}
		if (!this.call.mayHaveBeenSent()) {
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

		/** The complete response was received, with the right id. */
		COMPLETE,

		/** No byte of the request was sent. */
		NOT_SENT,

		/** The endpoint reported, with the right id, that it did not run the request. */
		REFUSED,

		/** The engine can't resume the interrupted response. */
		CANNOT_RESUME,

		/** The engine rejected the request as invalid. */
		REJECTED,

		/** The engine responded with a server error. */
		ERROR,

		/** The response has another id. */
		MISMATCH,

		/** The response is incomplete, too large or malformed. */
		BROKEN

	}

	private enum Mode {

		HEAD, STREAM, BODY, DISCARD

	}

	/**
	 * The data of an event; valid only during the callback.
	 *
	 * @param buffer the buffer that holds the data
	 * @param start the offset of the data
	 * @param end the offset after the data
	 * @param idStart the offset of the exchange's id
	 */
	record EventData(byte[] buffer, int start, int end, int idStart) {
	}

	/**
	 * Receives the results of an exchange.
	 */
	interface Owner {

		/**
		 * Handle a pause of reading for a slow caller; called on the HTTP client's
		 * thread.
		 */
		void paused();

		/**
		 * Return whether the connection to the caller is writable.
		 * @return whether to continue reading
		 */
		boolean isWritable();

		/**
		 * Handle a token.
		 * @param exchange the exchange
		 * @param index the index of the token in the complete response
		 * @param eventData the event
		 * @return false if the response can't be used
		 */
		boolean acceptToken(EndpointExchange exchange, long index, EventData eventData);

		/**
		 * Handle the end of a batch: all available data was read.
		 * @param exchange the exchange
		 */
		void progress(EndpointExchange exchange);

		/**
		 * Handle the end of the exchange.
		 * @param exchange the exchange
		 * @param outcome how it ended
		 */
		void exchangeEnded(EndpointExchange exchange, Outcome outcome);

	}

}
