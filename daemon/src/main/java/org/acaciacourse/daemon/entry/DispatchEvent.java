package org.acaciacourse.daemon.entry;

import org.acaciacourse.core.dispatch.Dispatcher;

/**
 * Something that the dispatcher is told, on its thread.
 */
@FunctionalInterface
interface DispatchEvent {

	/**
	 * Tell the dispatcher.
	 * @param dispatcher the dispatcher
	 * @param now the time on its clock
	 */
	void apply(Dispatcher dispatcher, long now);

}
