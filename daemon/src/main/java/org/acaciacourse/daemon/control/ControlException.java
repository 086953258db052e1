package org.acaciacourse.daemon.control;

import java.util.Objects;
import java.util.Optional;

import org.acaciacourse.core.code.ResultCode;

/**
 * Thrown if this replica cannot serve a call. It carries the leader's address if that is
 * known and another replica leads.
 * <p>
 * Immutable and thread safe.
 */
final class ControlException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final ResultCode code;

	private final transient Optional<String> leaderAddress;

	ControlException(ResultCode code, Optional<String> leaderAddress) {
		super(code.number() + " " + code.text(), null, false, false);
		this.code = Objects.requireNonNull(code, "code");
		this.leaderAddress = leaderAddress;
	}

	ResultCode code() {
		return this.code;
	}

	Optional<String> leaderAddress() {
		return this.leaderAddress;
	}

}
