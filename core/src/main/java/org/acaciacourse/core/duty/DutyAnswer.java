package org.acaciacourse.core.duty;

/**
 * What the platform answered to a call that carries out a duty.
 * <p>
 * Immutable and thread safe.
 */
public enum DutyAnswer {

	/** The call was carried out. */
	ACCEPTED("accepted", true, true),

	/** A higher fencing number was seen before. */
	FENCED("fenced", true, false),

	/** Too many calls at the moment. */
	BUSY("busy", true, false),

	/** The platform cannot carry it out at the moment. */
	UNAVAILABLE("unavailable", true, false),

	/** The platform will never carry it out. */
	REFUSED("refused", true, true),

	/** The call was not sent, as the lease had ended before. */
	NOT_SENT("not-sent", false, false),

	/** No answer came. The call may be carried out, also later. */
	UNANSWERED("unanswered", false, false);

	private final String label;

	private final boolean reached;

	private final boolean done;

	DutyAnswer(String label, boolean reached, boolean done) {
		this.label = label;
		this.reached = reached;
		this.done = done;
	}

	/**
	 * Return the word for logs and metrics.
	 * @return the label
	 */
	public String label() {
		return this.label;
	}

	/**
	 * Return whether the platform can be reached from this VM.
	 * @return whether it answered
	 */
	public boolean isReached() {
		return this.reached;
	}

	/**
	 * Return whether the same call need not be made again.
	 * @return whether the matter is settled
	 */
	public boolean isDone() {
		return this.done;
	}

}
