package org.acaciacourse.daemon.control;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import org.acaciacourse.core.route.Fleet;
import org.acaciacourse.core.route.FleetEndpoint;
import org.acaciacourse.daemon.codec.FleetAge;
import org.acaciacourse.daemon.inner.InternalConnection;
import org.acaciacourse.protocol.generated.PollReply;
import org.acaciacourse.protocol.generated.PollRequest;
import org.apache.thrift.TException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;

class FleetKeeperTests {

	private static final int VMS = 3;

	@TempDir
	private Path folder;

	private final List<AtomicInteger> reads = new ArrayList<>();

	private volatile Fleet listedFleet = fleet("i-1");

	private volatile boolean unreadable;

	private volatile boolean faulty;

	/** When the latest read of the list began. */
	private volatile long readAt;

	private ControlCluster cluster;

	private static Fleet fleet(String instance) {
		return Fleet.of(List.of(new FleetEndpoint(instance, "pool", "127.0.0.1:1", "dc", 4, false)));
	}

	@BeforeEach
	void start() throws IOException {
		for (int i = 0; i < VMS; i++) {
			this.reads.add(new AtomicInteger());
		}
		this.cluster = new ControlCluster(this.folder, VMS).fleet((i) -> () -> {
			this.reads.get(i).incrementAndGet();
			this.readAt = System.nanoTime();
			if (this.unreadable) {
				throw new IOException("the list is unavailable");
			}
			if (this.faulty) {
				throw new IllegalStateException("the list is not as expected");
			}
			return this.listedFleet;
		}).startAll();
	}

	@AfterEach
	void stop() {
		this.cluster.close();
	}

	private PollReply poll(int i, long revision) {
		String address = this.cluster.link("entry").controls().get(i);
		try (InternalConnection connection = InternalConnection.open(address, Duration.ofSeconds(10))) {
			PollRequest request = new PollRequest("entry", "run", "dc", 0, "", 0, 0, List.of(), false, false, revision,
					"");
			return connection.control().poll(this.cluster.link("entry").key().text(), request);
		}
		catch (TException ex) {
			throw new IllegalStateException(ex);
		}
	}

	// Guards against a list that ends the thread which reads it, and with it the control
	// VM.
	@Test
	void listIsReadAgainAfterAFault() {
		ControlCluster.await("a fleet", () -> poll(0, 0).getFleetRevision() == this.listedFleet.revision());
		this.faulty = true;
		int before = this.reads.stream().mapToInt(AtomicInteger::get).sum();
		ControlCluster.await("reads with a fault",
				() -> this.reads.stream().mapToInt(AtomicInteger::get).sum() > before + 1);
		this.listedFleet = fleet("i-2");
		this.faulty = false;
		ControlCluster.await("the next fleet", () -> poll(0, 0).getFleetRevision() == this.listedFleet.revision());
	}

	// Calls for the list are limited for all VMs together and priced, so only the leader
	// reads it. An entry VM must get the same fleet from every control VM that it polls.
	@Test
	void onlyTheLeaderReadsTheListAndEveryVmServesIt() {
		for (int i = 0; i < VMS; i++) {
			int vm = i;
			ControlCluster.await("the fleet at " + i,
					() -> poll(vm, 0).getFleetRevision() == this.listedFleet.revision());
		}
		int leader = this.cluster.leader();
		int[] before = this.reads.stream().mapToInt(AtomicInteger::get).toArray();
		this.listedFleet = fleet("i-2");
		for (int i = 0; i < VMS; i++) {
			int vm = i;
			ControlCluster.await("the new fleet at " + i,
					() -> poll(vm, 0).getFleetRevision() == this.listedFleet.revision());
		}
		for (int i = 0; i < VMS; i++) {
			if (i != leader) {
				assertThat(this.reads.get(i).get()).isEqualTo(before[i]);
			}
		}
		assertThat(this.reads.get(leader).get()).isGreaterThan(before[leader]);
	}

	// Guards against a list that looks newer to an entry VM than it is, as it took its
	// way over a control VM that does not read it.
	@Test
	void everyVmStatesWhenTheListWasRead() {
		for (int i = 0; i < VMS; i++) {
			int vm = i;
			long startedAt = System.nanoTime();
			ControlCluster.await("a later read at " + i, () -> {
				long askedAt = System.nanoTime();
				PollReply reply = poll(vm, 0);
				long stated = FleetAge.readAt(reply.getFleetAgeMillis(), askedAt);
				assertThat(stated).isAtMost(this.readAt);
				return reply.isSetFleetAgeMillis() && stated >= startedAt;
			});
		}
	}

	@Test
	void knownFleetIsNotSentAgain() {
		ControlCluster.await("the fleet", () -> poll(0, 0).isSetFleet());
		PollReply reply = poll(0, this.listedFleet.revision());
		assertThat(reply.isSetFleet()).isFalse();
		assertThat(reply.getFleetRevision()).isEqualTo(this.listedFleet.revision());
	}

	// When the platform's list can no longer be read, the fleet becomes stale and an
	// endpoint may have left. The control VM must then report no fleet, so that entry VMs
	// try to read the list themselves.
	@Test
	void expiredFleetIsNotServed() {
		ControlCluster.await("the fleet", () -> poll(0, 0).isSetFleet());
		this.unreadable = true;
		ControlCluster.await("no fleet", () -> poll(0, 0).getFleetRevision() == 0);
		assertThat(poll(0, 0).isSetFleet()).isFalse();
	}

}
