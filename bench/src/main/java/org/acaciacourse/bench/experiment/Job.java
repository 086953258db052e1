package org.acaciacourse.bench.experiment;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.dispatch.RequestInfo;
import org.acaciacourse.core.model.RequestClass;

/**
 * A caller's request with what only the bench knows: the length of its answer and what
 * became of it.
 * <p>
 * Not thread safe: one experiment runs on one thread.
 */
final class Job {

	final RequestInfo info;

	final RequestClass requestClass;

	/** The group that results are reported for. */
	final String group;

	final int length;

	final long arrivedAt;

	final boolean poison;

	/** Tokens computed for it on all engines. */
	int computed;

	/** Tokens that reached the caller. */
	int delivered;

	int entry;

	long firstTokenAt = -1;

	long doneAt = -1;

	ResultCode code;

	Job(RequestInfo info, RequestClass requestClass, String group, int length, long arrivedAt, boolean poison) {
		this.info = info;
		this.requestClass = requestClass;
		this.group = group;
		this.length = length;
		this.arrivedAt = arrivedAt;
		this.poison = poison;
	}

	boolean isOpen() {
		return this.doneAt < 0;
	}

	boolean isAnswered() {
		return this.code == ResultCode.OK;
	}

	boolean attained() {
		if (!isAnswered()) {
			return false;
		}
		long limit = this.requestClass.target().limit().toNanos();
		long at = switch (this.requestClass.target().kind()) {
			case FIRST_TOKEN -> this.firstTokenAt;
			case WHOLE_ANSWER -> this.doneAt;
		};
		return at - this.arrivedAt <= limit;
	}

}
