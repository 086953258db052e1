package org.acaciacourse.daemon.duty;

import java.util.concurrent.CompletionStage;

import org.acaciacourse.core.duty.DutyAnswer;
import org.acaciacourse.core.scaling.EndpointOrder;

/**
 * Carries orders of endpoints to the platform.
 * <p>
 * Thread safe.
 */
public interface EndpointOrderSink {

	/**
	 * Order endpoints. Within a few seconds the call is given up as
	 * {@link DutyAnswer#UNANSWERED}.
	 * @param order the order
	 * @param call the right to order
	 * @return the answer; never fails. {@link DutyAnswer#FENCED} also stands for
	 * reclaimable endpoints that are not to be had
	 */
	CompletionStage<DutyAnswer> order(EndpointOrder order, FencedCall call);

}
