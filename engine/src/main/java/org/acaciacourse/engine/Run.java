package org.acaciacourse.engine;

import java.util.Locale;

/**
 * One request inside the engine. What is asked never changes; the rest is changed by the
 * thread of the batch only.
 * <p>
 * Thread safe for reading {@link #state()} and {@link #produced()}; not for the rest.
 */
final class Run {

	private final Prompt prompt;

	private volatile State state = State.QUEUED;

	private volatile int produced;

	private AnswerSink sink;

	private int passedOn;

	private long readyAt;

	private long detachedAt;

	Run(Prompt prompt) {
		this.prompt = prompt;
	}

	Prompt prompt() {
		return this.prompt;
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
		if (this.produced == this.prompt.tokens().size()) {
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
			this.sink.token(index, this.prompt.tokens());
		}
		if (this.sink != null && this.passedOn == this.prompt.tokens().size()) {
			this.sink.end(this.prompt.tokens());
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
