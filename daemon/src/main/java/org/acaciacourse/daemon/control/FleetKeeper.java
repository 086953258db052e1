package org.acaciacourse.daemon.control;

import java.io.IOException;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.consensus.Member;
import org.acaciacourse.core.route.Fleet;
import org.acaciacourse.daemon.codec.FleetAge;
import org.acaciacourse.daemon.codec.FleetCodec;
import org.acaciacourse.daemon.inner.SharedKey;
import org.acaciacourse.daemon.process.EssentialThread;
import org.acaciacourse.protocol.generated.FleetReply;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Keeps the current fleet on a control VM. Only the leader reads the platform's list, as
 * requests for it are rate-limited and charged for; the other control VMs fetch changes
 * from the leader by long polls. A control VM that gets no reply from a leader reads the
 * list itself, so that entry VMs learn of leaving endpoints even while there is no
 * leader.
 * <p>
 * Thread safe.
 */
final class FleetKeeper implements AutoCloseable {

	private static final Logger LOGGER = LogManager.getLogger(FleetKeeper.class);

	/**
	 * The delay between two reads of the list. The list lags by some 0.8 s, and a leaving
	 * endpoint accepts requests for another 3 s.
	 */
	private static final long PERIOD_MILLIS = 700;

	/** The length of a follower's long poll at the leader. */
	private static final long LEADER_WAIT_MILLIS = 1_000;

	/** A fleet that has not been confirmed for this long is no longer served. */
	private static final long MAX_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

	private final ReplicaLoop loop;

	private final Member self;

	private final SharedKey key;

	private final Optional<FleetSource> source;

	private final CountDownLatch closed = new CountDownLatch(1);

	private FleetReading reading = FleetReading.NONE;

	private long confirmedAt = System.nanoTime() - MAX_AGE_NANOS;

	FleetKeeper(ReplicaLoop loop, Member self, SharedKey key, Optional<FleetSource> source) {
		this.loop = loop;
		this.self = self;
		this.key = key;
		this.source = source;
	}

	void start() {
		if (this.source.isPresent()) {
			new EssentialThread(this::run, "fleet-" + this.self.vm()).start();
		}
	}

	private void run() {
		try {
			while (this.closed.getCount() > 0) {
				if (!fetchFromLeader()) {
					readSource();
					this.closed.await(PERIOD_MILLIS, TimeUnit.MILLISECONDS);
				}
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private boolean fetchFromLeader() {
		Optional<Member> leader = this.loop.views().latest().status().leader();
		if (leader.isEmpty() || leader.get().id().equals(this.self.id())) {
			return false;
		}
		long known = current().revision();
		long askedAt = System.nanoTime();
		Optional<FleetReply> reply = PeerCalls.call(leader.get().address(),
				(c) -> c.control().fleet(this.key.text(), known, LEADER_WAIT_MILLIS));
		if (reply.isEmpty() || reply.get().getResult().getCode() != ResultCode.OK.number()) {
			return false;
		}
		Fleet received = (reply.get().getRevision() == known) ? current()
				: new Fleet(reply.get().getRevision(), FleetCodec.decode(reply.get().getFleet()));
		OptionalLong readAt = (reply.get().isSetAgeMillis())
				? OptionalLong.of(FleetAge.readAt(reply.get().getAgeMillis(), askedAt)) : OptionalLong.empty();
		update(new FleetReading(received, readAt));
		return true;
	}

	private void readSource() throws InterruptedException {
		long readAt = System.nanoTime();
		try {
			update(new FleetReading(this.source.get().read(), OptionalLong.of(readAt)));
		}
		catch (IOException | RuntimeException ex) {
			LOGGER.warn("cannot read the platform's list of endpoints; keeping the last fleet: {}", ex.toString());
		}
	}

	private void update(FleetReading next) {
		Fleet fleet = next.fleet();
		boolean changed;
		synchronized (this) {
			changed = fleet.revision() != this.reading.fleet().revision();
			this.reading = next;
			this.confirmedAt = System.nanoTime();
			notifyAll();
		}
		if (changed) {
			LOGGER.info("fleet changed to revision {} with {} endpoints", Long.toHexString(fleet.revision()),
					fleet.endpoints().size());
			this.loop.views().signalChange();
		}
	}

	/**
	 * Return the current fleet.
	 * @return the fleet, or {@link Fleet#NONE} if its last confirmation is older than
	 * {@link #MAX_AGE_NANOS}
	 */
	Fleet current() {
		return currentReading().fleet();
	}

	/**
	 * Return the current fleet with the time at which it was read.
	 * @return the fleet, or {@link FleetReading#NONE} if its last confirmation is older
	 * than {@link #MAX_AGE_NANOS}
	 */
	synchronized FleetReading currentReading() {
		return (System.nanoTime() - this.confirmedAt < MAX_AGE_NANOS) ? this.reading : FleetReading.NONE;
	}

	/**
	 * Wait for a fleet with another revision.
	 * @param revision the revision that the requesting VM has
	 * @param millis the longest wait in milliseconds
	 * @return the fleet, with the same revision if the wait timed out
	 * @throws InterruptedException if the thread is interrupted
	 */
	synchronized FleetReading await(long revision, long millis) throws InterruptedException {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
		while (current().revision() == revision) {
			long remaining = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
			if (remaining <= 0) {
				break;
			}
			wait(remaining);
		}
		return currentReading();
	}

	@Override
	public void close() {
		this.closed.countDown();
	}

}
