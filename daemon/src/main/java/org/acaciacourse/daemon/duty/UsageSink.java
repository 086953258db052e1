package org.acaciacourse.daemon.duty;

import java.util.concurrent.CompletionStage;

import org.acaciacourse.core.duty.DutyAnswer;
import org.acaciacourse.core.usage.UsageReport;

/**
 * Carries usage reports to the platform.
 * <p>
 * Thread safe.
 */
public interface UsageSink {

	/**
	 * Report the usage of a window. Within a few seconds the call is given up as
	 * {@link DutyAnswer#UNANSWERED}.
	 * @param report the usage
	 * @param call the right to report it
	 * @return the answer; never fails
	 */
	CompletionStage<DutyAnswer> report(UsageReport report, FencedCall call);

}
