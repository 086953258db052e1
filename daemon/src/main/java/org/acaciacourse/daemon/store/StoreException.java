package org.acaciacourse.daemon.store;

import org.acaciacourse.core.code.ResultCode;

/**
 * The data folder cannot be used, or not any longer. The replica stops with the code:
 * after a failed sync the kernel may have dropped the pages and report the next sync as
 * good, so that going on would answer for data that is not on disk.
 * <p>
 * Immutable and thread safe.
 */
public final class StoreException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final ResultCode code;

	/**
	 * Make an exception.
	 * @param code what the process ends with
	 * @param detail what was wrong, with the name of the file
	 * @param cause the failure underneath, or {@code null}
	 */
	public StoreException(ResultCode code, String detail, Throwable cause) {
		super(code.number() + " " + code.text() + ": " + detail, cause);
		this.code = code;
	}

	/**
	 * Return the code.
	 * @return what the process ends with
	 */
	public ResultCode code() {
		return this.code;
	}

}
