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
final class Leg implements EndpointCall.Listener {

	private static final int MAX_ANSWER = 32 * 1024 * 1024;

	private static final byte[] DONE = "[DONE]".getBytes(StandardCharsets.US_ASCII);

	private static final byte[] FINISH = "\"finish_reason\":\"".getBytes(StandardCharsets.US_ASCII);

	private final Owner owner;

	private final RequestPlan plan;

	private final long number;

	private final String wireId;

	private final AnswerId answerId;

	private final EndpointCall call;

	private final EventSplitter splitter = new EventSplitter();

	private final ByteArrayOutputStream body = new ByteArrayOutputStream(0);

	private Mode mode = Mode.HEAD;

	private EndpointCall.Head head;

	private long nextIndex;

	private long tokens;

	private boolean finished;

	private Optional<Boolean> ended = Optional.empty();

	private boolean closed;

	Leg(Owner owner, RequestPlan plan, long number, String wireId, long firstIndex, EventExecutor executor) {
		this.owner = owner;
		this.plan = plan;
		this.number = number;
		this.wireId = wireId;
		this.answerId = new AnswerId(wireId);
		this.nextIndex = firstIndex;
		this.call = new EndpointCall(executor, this);
	}

	long number() {
		return this.number;
	}

	String wireId() {
		return this.wireId;
	}

	AnswerId answerId() {
		return this.answerId;
	}

	EndpointCall call() {
		return this.call;
	}

	EndpointCall.Head answerHead() {
		return this.head;
	}

	byte[] answerBody() {
		return this.body.toByteArray();
	}

	/**
	 * Return how many tokens came, passed on or not.
	 * @return the number of tokens
	 */
	long tokens() {
		return this.tokens;
	}

	long nextIndex() {
		return this.nextIndex;
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
		this.head = received;
		int status = received.status();
		if (status == 503 && this.wireId.equals(received.header("x-not-run"))) {
			this.mode = Mode.DISCARD;
			end(End.REFUSED);
		}
		else if (!this.wireId.equals(received.header("x-request-id"))) {
			end(End.MISMATCH);
		}
		else if (!this.plan.isModel()) {
			this.mode = Mode.BODY;
		}
		else if (status == 409) {
			end(End.CANNOT_RESUME);
		}
		else if (status >= 500 || status == 429) {
			end(End.ERROR);
		}
		else if (status != 200 || !this.plan.call().stream()) {
			this.mode = Mode.BODY;
		}
		else if (received.header("content-type").startsWith("text/event-stream")) {
			this.mode = Mode.STREAM;
		}
		else {
			end(End.ERROR);
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
			read(chunk.get());
		}
		if (any && !this.closed) {
			this.owner.progress(this);
		}
		finishIfDrained();
	}

	/** Go on reading once the caller takes data again. */
	void pump() {
		readable(this.call);
	}

	private void read(byte[] chunk) {
		if (this.closed || this.mode == Mode.DISCARD) {
			return;
		}
		if (this.mode == Mode.STREAM) {
			if (!this.splitter.feed(chunk, this::event) && !this.closed) {
				end(End.BROKEN);
			}
		}
		else if (this.body.size() + chunk.length > MAX_ANSWER) {
			end(End.BROKEN);
		}
		else {
			this.body.writeBytes(chunk);
		}
	}

	private boolean event(long given, byte[] buffer, int start, int end) {
		if (Arrays.equals(buffer, start, end, DONE, 0, DONE.length)) {
			end(End.WHOLE);
			return false;
		}
		OptionalInt idAt = this.answerId.find(buffer, start, end);
		if (idAt.isEmpty()) {
			end(End.MISMATCH);
			return false;
		}
		long index = (given >= 0) ? given : this.nextIndex;
		this.nextIndex = index + 1;
		this.tokens++;
		this.finished |= contains(buffer, start, end, FINISH);
		if (!this.owner.token(this, index, new Data(buffer, start, end, idAt.getAsInt()))) {
			end(End.BROKEN);
			return false;
		}
		return true;
	}

	private static boolean contains(byte[] buffer, int start, int end, byte[] word) {
		for (int i = end - word.length; i >= start; i--) {
			if (buffer[i] == word[0] && Arrays.equals(buffer, i, i + word.length, word, 0, word.length)) {
				return true;
			}
		}
		return false;
	}

	@Override
	public void ended(EndpointCall from, boolean whole) {
		this.ended = Optional.of(whole);
		readable(from);
	}

	private void finishIfDrained() {
		if (this.closed || this.ended.isEmpty() || !this.owner.isWritable()) {
			return;
		}
		if (!this.call.maySent()) {
			end(End.NOT_SENT);
		}
		else if (this.mode == Mode.STREAM) {
			end((this.finished) ? End.WHOLE : End.BROKEN);
		}
		else if (!this.ended.get() || this.mode != Mode.BODY) {
			end(End.BROKEN);
		}
		else {
			end(judgeBody());
		}
	}

	private End judgeBody() {
		if (!this.plan.isModel()) {
			return End.WHOLE;
		}
		if (this.head.status() != 200) {
			return End.REJECTED;
		}
		byte[] bytes = answerBody();
		Optional<Long> counted = PlainAnswer.tokens(bytes);
		if (counted.isEmpty()) {
			return End.BROKEN;
		}
		this.tokens = counted.get();
		return (this.answerId.find(bytes, 0, bytes.length).isPresent()) ? End.WHOLE : End.MISMATCH;
	}

	private void end(End end) {
		if (this.closed) {
			return;
		}
		this.closed = true;
		if (end == End.MISMATCH || end == End.BROKEN || end == End.ERROR) {
			this.call.close();
		}
		this.owner.ended(this, end);
	}

	/**
	 * How an exchange ended.
	 */
	enum End {

		/** The whole answer came, under the right id. */
		WHOLE,

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
	 * @param idAt where the id of the attempt stands
	 */
	record Data(byte[] buffer, int start, int end, int idAt) {
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
		 * @param leg the exchange
		 * @param index its place in the whole answer
		 * @param data the event
		 * @return false if the answer can't be used
		 */
		boolean token(Leg leg, long index, Data data);

		/**
		 * All that waited was read.
		 * @param leg the exchange
		 */
		void progress(Leg leg);

		/**
		 * The exchange ended.
		 * @param leg the exchange
		 * @param end how
		 */
		void ended(Leg leg, End end);

	}

}
