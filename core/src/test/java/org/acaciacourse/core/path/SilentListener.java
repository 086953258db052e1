package org.acaciacourse.core.path;

/** Ignores what it is told. */
final class SilentListener implements PathLinks.Listener {

	@Override
	public void linkLost(String endpoint, LinkSign sign, int lost, int known) {
	}

	@Override
	public void linkRegained(String endpoint, long lostNanos) {
	}

	@Override
	public void pathDoubted(int lost, int known) {
	}

}
