package org.acaciacourse.daemon.inner;

import java.util.HexFormat;

/**
 * Identifies the runs of a VM's process.
 * <p>
 * Thread safe: stateless.
 */
public final class RunId {

	private RunId() {
	}

	/**
	 * Create the id of this run. Two starts of a VM differ in at least one of the two
	 * clocks. The id need not be unpredictable, and the first secure random number of a
	 * process would add 25 ms to the start.
	 * @param vm the name of the VM
	 * @return the id
	 */
	public static String next(String vm) {
		HexFormat hex = HexFormat.of();
		return vm + "/" + hex.toHexDigits(System.currentTimeMillis()) + hex.toHexDigits(System.nanoTime());
	}

}
