package org.acaciacourse.daemon.entry;

import org.acaciacourse.core.dispatch.Dispatcher;

/**
 * An event for the dispatcher, applied on the dispatcher's thread.
 */
@FunctionalInterface
interface DispatchEvent {

	/**
	 * Apply the event.
	 * @param dispatcher the dispatcher
	 * @param now the time on the dispatcher's clock in nanoseconds
	 */
	void apply(Dispatcher dispatcher, long now);

}
