package org.acaciacourse.engine;

import java.util.List;
import java.util.Locale;

/**
 * One request inside the engine. Its id and text never change; the rest is changed by the
 * thread of the batch only.
 * <p>
 * Thread safe for reading {@link #state()} and {@link #produced()}; not for the rest.
 */
final class Run {

	private final String id;

	private final String key;

	private final String content;

	private final String prefix;

	private final int priority;

	private final List<String> tokens;

	private volatile State state = State.QUEUED;

	private volatile int produced;

	private AnswerSink sink;

	private int passedOn;

	private long readyAt;

	private long detachedAt;

	Run(String id, String key, String content, String prefix, int priority, List<String> tokens) {
		this.id = id;
		this.key = key;
		this.content = content;
		this.prefix = prefix;
		this.priority = priority;
		this.tokens = tokens;
	}

	Run withTokens(List<String> otherTokens) {
		return new Run(this.id, this.key, this.content, this.prefix, this.priority, otherTokens);
	}

	String id() {
		return this.id;
	}

	String key() {
		return this.key;
	}

	String content() {
		return this.content;
	}

	String prefix() {
		return this.prefix;
	}

	int priority() {
		return this.priority;
	}

	List<String> tokens() {
		return this.tokens;
	}

	State state() {
		return this.state;
	}

	int produced() {
		return this.produced;
	}

	boolean canResumeFrom(int index) {
		return index >= 0 && index <= this.produced;
	}

	void attach(AnswerSink newSink, int from) {
		this.sink = newSink;
		this.passedOn = from;
		this.detachedAt = 0;
		passOn();
	}

	void state(State newState) {
		this.state = newState;
	}

	void begin(long readyTime) {
		this.state = State.RUNNING;
		this.readyAt = readyTime;
	}

	boolean isReady(long now) {
		return now >= this.readyAt;
	}

	/**
	 * Compute one token and pass it on.
	 */
	void step() {
		this.produced++;
		if (this.produced == this.tokens.size()) {
			this.state = State.FINISHED;
		}
		passOn();
	}

	void cancel() {
		this.state = State.CANCELLED;
		if (this.sink != null) {
			this.sink.cancelled();
		}
	}

	/**
	 * Return whether nobody has listened for longer than a bound.
	 * @param now the time
	 * @param boundNanos the bound
	 * @return whether the request is to be given up
	 */
	boolean isAbandoned(long now, long boundNanos) {
		if (this.sink != null && this.sink.isOpen()) {
			return false;
		}
		if (this.detachedAt == 0) {
			this.detachedAt = now;
		}
		return now - this.detachedAt >= boundNanos;
	}

	private void passOn() {
		while (this.sink != null && this.passedOn < this.produced) {
			int index = this.passedOn++;
			this.sink.token(index, this.tokens);
		}
		if (this.sink != null && this.passedOn == this.tokens.size()) {
			this.sink.end(this.tokens);
		}
	}

	/** Where a run stands. */
	enum State {

		QUEUED, RUNNING, FINISHED, CANCELLED;

		String label() {
			return name().toLowerCase(Locale.ROOT);
		}

	}

}
