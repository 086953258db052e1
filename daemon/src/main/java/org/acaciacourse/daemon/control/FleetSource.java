package org.acaciacourse.daemon.control;

import java.io.IOException;

import org.acaciacourse.core.route.Fleet;

/**
 * Reads the platform's list of endpoints.
 * <p>
 * Thread safe.
 */
@FunctionalInterface
public interface FleetSource {

	/**
	 * Read the whole list.
	 * @return the fleet
	 * @throws IOException if the list, or a page of it, cannot be read
	 * @throws InterruptedException if the thread is interrupted
	 */
	Fleet read() throws IOException, InterruptedException;

}
