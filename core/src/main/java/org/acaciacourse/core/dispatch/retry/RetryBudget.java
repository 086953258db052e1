package org.acaciacourse.core.dispatch.retry;

/**
 * A retry budget: a bucket that requests fill and retries drain. It limits retries to a
 * fixed ratio of the requests plus a small reserve, the capacity of the bucket. Without a
 * limit each failure under overload adds load, which causes more failures, and the system
 * does not recover after the burst. The reserve covers the crash of one endpoint.
 * <p>
 * Invariant: the balance is between 0 and the capacity.
 * <p>
 * Not thread safe: owned by one dispatcher.
 */
public final class RetryBudget {

	private final double capacity;

	private final double ratio;

	private double balance;

	/**
	 * Create a full budget.
	 * @param capacity the maximum number of retries in a burst
	 * @param ratio the number of retries added by each request
	 */
	public RetryBudget(double capacity, double ratio) {
		this.capacity = capacity;
		this.ratio = ratio;
		this.balance = capacity;
	}

	/**
	 * Add the part of a retry that one request earns.
	 */
	public void deposit() {
		this.balance = Math.min(this.capacity, this.balance + this.ratio);
	}

	/**
	 * Return whether a retry is within the budget.
	 * @return whether a retry is permitted
	 */
	public boolean canWithdraw() {
		return this.balance >= 1;
	}

	/**
	 * Remove one retry from the budget.
	 */
	public void withdraw() {
		this.balance = Math.max(0, this.balance - 1);
	}

}
