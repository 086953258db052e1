package org.acaciacourse.daemon.control;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.IntFunction;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.consensus.ReplicaTiming;
import org.acaciacourse.daemon.duty.DutyOptions;
import org.acaciacourse.daemon.inner.InternalConnection;
import org.acaciacourse.daemon.inner.SharedKey;
import org.acaciacourse.daemon.link.LeaderClient;
import org.acaciacourse.daemon.link.LinkOptions;
import org.acaciacourse.protocol.generated.ApplyReply;
import org.acaciacourse.protocol.generated.ApplyRequest;
import org.acaciacourse.protocol.generated.StatusReply;
import org.acaciacourse.protocol.generated.TraceContext;
import org.apache.thrift.TException;

/**
 * A cluster of control daemons in this JVM, connected over loopback.
 */
public final class ControlCluster implements AutoCloseable {

	private static final SharedKey INNER = new SharedKey("inner-key-of-the-tests");

	private static final SharedKey OPERATOR = new SharedKey("operator");

	private static final long POLL_NANOS = Duration.ofMillis(5).toNanos();

	private static final long WAIT_NANOS = Duration.ofSeconds(60).toNanos();

	private final Path folder;

	private final List<String> addresses;

	private final ControlDaemon[] daemons;

	private int initialMembers;

	private long snapshotEntries = ControlOptions.SNAPSHOT_ENTRIES;

	private Optional<String> platformList = Optional.empty();

	private Optional<IntFunction<FleetSource>> fleet = Optional.empty();

	private Optional<IntFunction<DutyOptions>> duties = Optional.empty();

	public ControlCluster(Path folder, int size) throws IOException {
		this.folder = folder;
		this.addresses = freeAddresses(size);
		this.daemons = new ControlDaemon[size];
		this.initialMembers = size;
	}

	private static List<String> freeAddresses(int count) throws IOException {
		List<ServerSocket> sockets = new ArrayList<>();
		List<String> found = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
			sockets.add(socket);
			found.add("127.0.0.1:" + socket.getLocalPort());
		}
		for (ServerSocket socket : sockets) {
			socket.close();
		}
		return found;
	}

	ControlCluster initialMembers(int count) {
		this.initialMembers = count;
		return this;
	}

	ControlCluster snapshotEntries(long entries) {
		this.snapshotEntries = entries;
		return this;
	}

	ControlCluster platformList(Path file) {
		this.platformList = Optional.of(file.toString());
		return this;
	}

	ControlCluster fleet(IntFunction<FleetSource> source) {
		this.fleet = Optional.of(source);
		return this;
	}

	ControlCluster duties(IntFunction<DutyOptions> options) {
		this.duties = Optional.of(options);
		return this;
	}

	ControlDaemon start(int i) {
		ReplicaTiming timing = new ReplicaTiming(Duration.ofMillis(50).toNanos(), Duration.ofMillis(500).toNanos(),
				256 * 1024, 4 * 1024 * 1024);
		ControlOptions options = new ControlOptions("control-" + i, this.addresses.get(i), "127.0.0.1:0",
				initialAddresses(), data(i), INNER, OPERATOR, this.platformList, false, timing, this.snapshotEntries,
				true, this.fleet.map((source) -> source.apply(i)), this::initialAddresses,
				this.duties.map((duty) -> duty.apply(i)));
		this.daemons[i] = new ControlDaemon(options);
		ResultCode code = this.daemons[i].start();
		if (code != ResultCode.OK) {
			throw new IllegalStateException("control daemon did not start: " + code);
		}
		return this.daemons[i];
	}

	private List<String> initialAddresses() {
		return this.addresses.subList(0, this.initialMembers);
	}

	public ControlCluster startAll() {
		for (int i = 0; i < this.daemons.length; i++) {
			start(i);
		}
		awaitReady();
		return this;
	}

	Path data(int i) {
		return this.folder.resolve("control-" + i);
	}

	void awaitReady() {
		for (int i = 0; i < this.daemons.length; i++) {
			ControlDaemon daemon = this.daemons[i];
			if (daemon != null) {
				await("replica ready", daemon::isReady);
			}
		}
	}

	void stop(int i) {
		this.daemons[i].stop();
		this.daemons[i] = null;
	}

	/**
	 * Stop without transferring the leadership: the nearest to a crash within one
	 * process.
	 */
	void kill(int i) {
		this.daemons[i].abort();
		this.daemons[i] = null;
	}

	int leader() {
		await("a leader", () -> indexOfLeader() >= 0);
		return indexOfLeader();
	}

	private int indexOfLeader() {
		for (int i = 0; i < this.daemons.length; i++) {
			if (this.daemons[i] != null && this.daemons[i].isLeader()) {
				return i;
			}
		}
		return -1;
	}

	public LinkOptions link(String vm) {
		return new LinkOptions(vm, "accra-a", this.addresses, INNER);
	}

	public ApplyReply apply(Map<String, Map<String, String>> sections) throws InterruptedException {
		ApplyRequest request = new ApplyRequest(OPERATOR.text(), "pipeline", sections, new TraceContext(""));
		try (LeaderClient caller = new LeaderClient(this.addresses)) {
			return caller.call((c) -> c.apply(request), ApplyReply::getResult, Duration.ofSeconds(30)).orElseThrow();
		}
	}

	StatusReply status(int i) throws TException {
		try (InternalConnection connection = InternalConnection.open(this.addresses.get(i), Duration.ofSeconds(10))) {
			return connection.control().status(OPERATOR.text());
		}
	}

	long manifestNumber(int i) {
		try {
			return status(i).getNumber();
		}
		catch (TException ex) {
			return -1;
		}
	}

	public static void await(String what, BooleanSupplier condition) {
		long deadline = System.nanoTime() + WAIT_NANOS;
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() > deadline) {
				throw new AssertionError("timed out waiting for " + what);
			}
			LockSupport.parkNanos(POLL_NANOS);
		}
	}

	/** A small complete manifest. */
	public static Map<String, Map<String, String>> manifest(long number, String className) {
		Map<String, Map<String, String>> sections = new TreeMap<>();
		sections.put("manifest", Map.of("number", Long.toString(number), "policy", "tiered"));
		sections.put("policy tiered", Map.of("kind", "tiered"));
		sections.put("endpoint-set draftmind", Map.of("kind", "model", "models", "draftmind-7b"));
		sections.put("endpoint draftmind-1",
				Map.of("set", "draftmind", "address", "http://127.0.0.1:9001", "data-centre", "accra-a"));
		sections.put("class " + className,
				Map.of("tier", "high", "target", "first-token 2 s", "deadline", "60 s", "endpoint-sets", "draftmind"));
		return sections;
	}

	@Override
	public void close() {
		for (ControlDaemon daemon : this.daemons) {
			if (daemon != null) {
				daemon.abort();
			}
		}
	}

}
