package org.acaciacourse.core.dispatch.retry;

/**
 * A bucket that first attempts fill and retries empty. Retries are then at most a fixed
 * ratio of the first attempts beyond a small reserve: without it each failure under
 * overload adds load, which causes more failures, and the system does not recover after
 * the burst. The reserve covers one crashed endpoint.
 * <p>
 * Invariant: the balance is between 0 and the reserve.
 * <p>
 * Not thread safe: owned by one dispatcher.
 */
public final class RetryBudget {

	private final double capacity;

	private final double ratio;

	private double balance;

	/**
	 * Create a full budget.
	 * @param capacity how many retries are possible at once
	 * @param ratio retries earned by a first attempt
	 */
	public RetryBudget(double capacity, double ratio) {
		this.capacity = capacity;
		this.ratio = ratio;
		this.balance = capacity;
	}

	/**
	 * Note a first attempt.
	 */
	public void deposit() {
		this.balance = Math.min(this.capacity, this.balance + this.ratio);
	}

	/**
	 * Return whether a retry is within the budget.
	 * @return whether one may be spent
	 */
	public boolean canWithdraw() {
		return this.balance >= 1;
	}

	/**
	 * Take one retry out of the budget.
	 */
	public void withdraw() {
		this.balance = Math.max(0, this.balance - 1);
	}

}
