package org.acaciacourse.daemon.process;

/**
 * A thread that the process can't do without: if it ends by a fault, {@link FatalFaults}
 * ends the process. It does not keep the process from ending.
 * <p>
 * Thread safe.
 */
public final class EssentialThread extends Thread {

	/**
	 * Create a thread.
	 * @param duty what it does until it is stopped
	 * @param name its name
	 */
	public EssentialThread(Runnable duty, String name) {
		super(duty, name);
		setDaemon(true);
	}

}
