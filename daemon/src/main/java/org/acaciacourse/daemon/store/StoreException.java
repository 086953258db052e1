package org.acaciacourse.daemon.store;

import org.acaciacourse.core.code.ResultCode;

/**
 * The data folder cannot be used, or can no longer be used. The replica stops with the
 * code: after a failed sync the kernel may have dropped the dirty pages and report the
 * next sync as successful, so that the replica would acknowledge data that is not on
 * disk.
 * <p>
 * Immutable and thread safe.
 */
public final class StoreException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final ResultCode code;

	/**
	 * Create an exception.
	 * @param code the code that the process exits with
	 * @param detail what is wrong, with the name of the file
	 * @param cause the underlying failure, or {@code null}
	 */
	public StoreException(ResultCode code, String detail, Throwable cause) {
		super(code.number() + " " + code.text() + ": " + detail, cause);
		this.code = code;
	}

	/**
	 * Return the code.
	 * @return the code that the process exits with
	 */
	public ResultCode code() {
		return this.code;
	}

}
