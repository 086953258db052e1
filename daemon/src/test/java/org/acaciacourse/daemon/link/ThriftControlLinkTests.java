package org.acaciacourse.daemon.link;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.dispatch.EndpointStatus;
import org.acaciacourse.core.model.Manifest;
import org.acaciacourse.core.state.ClaimKey;
import org.acaciacourse.core.state.ClaimOutcome;
import org.acaciacourse.daemon.control.ControlCluster;
import org.acaciacourse.daemon.inner.SharedKey;
import org.acaciacourse.daemon.link.ControlLink.ClaimResult;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;

class ThriftControlLinkTests {

	private static final ClaimKey KEY = new ClaimKey("kumasi", "verdict-1");

	@TempDir
	private Path folder;

	private final RecordingListener listener = new RecordingListener();

	private static ClaimResult claim(ControlLink link, String hash) {
		return link.claim(KEY, hash, "").toCompletableFuture().join();
	}

	private static ResultCode complete(ControlLink link, ClaimOutcome outcome) {
		return link.complete(KEY, outcome, new byte[] { 42 }).toCompletableFuture().join();
	}

	@Nested
	class Configuration {

		@Test
		void followsChangesAndReportsWhenUpToDate() throws Exception {
			try (ControlCluster cluster = new ControlCluster(ThriftControlLinkTests.this.folder, 3).startAll();
					ControlLink link = new ThriftControlLink(cluster.link("entry-1"))) {
				cluster.apply(ControlCluster.manifest(1, "urgent"));
				link.start(ThriftControlLinkTests.this.listener, List::of);
				RecordingListener listener = ThriftControlLinkTests.this.listener;
				ControlCluster.await("up to date", () -> listener.upToDate.get() == 1);
				cluster.apply(ControlCluster.manifest(2, "standard"));
				cluster.apply(ControlCluster.manifest(5, "overnight"));
				ControlCluster.await("number 5", () -> listener.last() == 5);
				assertThat(listener.numbers).isInStrictOrder();
				assertThat(listener.entryCounts).containsExactly(1);
			}
		}

		@Test
		void switchesAwayFromASilentControlVm() throws Exception {
			// The control VM accepts the connection and never replies, as when a device
			// on the path has lost the connection's state. The poll must time out and the
			// link switch to the next control VM, so that the entry VM gets the
			// configuration within seconds.
			try (ControlCluster cluster = new ControlCluster(ThriftControlLinkTests.this.folder, 1).startAll();
					SilentServer silent = new SilentServer()) {
				cluster.apply(ControlCluster.manifest(1, "urgent"));
				LinkOptions good = cluster.link("entry-1");
				for (List<String> order : List.of(List.of(silent.address(), good.controls().get(0)),
						List.of(good.controls().get(0), silent.address()))) {
					LinkOptions options = new LinkOptions(good.vm(), good.dataCentre(), order, good.key());
					RecordingListener listener = new RecordingListener();
					try (ControlLink link = new ThriftControlLink(options)) {
						link.start(listener, List::of);
						ControlCluster.await("up to date", () -> listener.upToDate.get() == 1);
						assertThat(claim(link, "hash").granted()).isTrue();
						assertThat(complete(link, ClaimOutcome.NOT_RUN)).isEqualTo(ResultCode.OK);
					}
				}
			}
		}

	}

	@Nested
	class Claims {

		@Test
		void areGrantedOnceAndAnsweredAfterwards() throws Exception {
			// Two entry VMs receive the same non-repeatable request at once. One may send
			// it; the other learns that it is in progress, and later gets the stored
			// response.
			try (ControlCluster cluster = new ControlCluster(ThriftControlLinkTests.this.folder, 3).startAll();
					ControlLink first = new ThriftControlLink(cluster.link("entry-1"));
					ControlLink second = new ThriftControlLink(cluster.link("entry-2"))) {
				assertThat(claim(first, "hash").granted()).isTrue();
				assertThat(claim(second, "hash").code()).isEqualTo(ResultCode.CLAIM_IN_PROGRESS);
				assertThat(claim(second, "other").code()).isEqualTo(ResultCode.CLAIM_CONTENT_DIFFERS);
				assertThat(complete(first, ClaimOutcome.ANSWERED)).isEqualTo(ResultCode.OK);
				ClaimResult answered = claim(second, "hash");
				assertThat(answered.granted()).isFalse();
				assertThat(answered.response().orElseThrow()).isEqualTo(new byte[] { 42 });
			}
		}

		@Test
		void areRefusedWithoutAQuorum() throws Exception {
			// No control VM responds: the request must not be sent, and the claim is
			// refused instead of waiting without bound.
			try (SilentServer silent = new SilentServer()) {
				LinkOptions options = new LinkOptions("entry-1", "accra-a", List.of(silent.address()),
						new SharedKey("0123456789abcdef"));
				try (ControlLink link = new ThriftControlLink(options)) {
					ClaimResult refused = claim(link, "hash");
					assertThat(refused.granted()).isFalse();
					assertThat(refused.code()).isEqualTo(ResultCode.CLAIM_UNAVAILABLE);
				}
			}
		}

	}

	/** Accepts connections and never replies. */
	private static final class SilentServer implements AutoCloseable {

		private final ServerSocket socket;

		private SilentServer() throws IOException {
			this.socket = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
		}

		private String address() {
			return "127.0.0.1:" + this.socket.getLocalPort();
		}

		@Override
		public void close() throws IOException {
			this.socket.close();
		}

	}

	/** Records the calls to a listener. */
	private static final class RecordingListener implements ControlLink.Listener {

		private final List<Long> numbers = new CopyOnWriteArrayList<>();

		private final List<Integer> entryCounts = new CopyOnWriteArrayList<>();

		private final AtomicInteger upToDate = new AtomicInteger();

		private long last() {
			return (this.numbers.isEmpty()) ? 0 : this.numbers.get(this.numbers.size() - 1);
		}

		@Override
		public void manifestChanged(Manifest manifest) {
			this.numbers.add(manifest.number());
		}

		@Override
		public void upToDate() {
			this.upToDate.incrementAndGet();
		}

		@Override
		public void endpointStatusChanged(String endpoint, EndpointStatus status) {
		}

		@Override
		public void crashReported(long contentHash, int crashes) {
		}

		@Override
		public void entryCountChanged(int count) {
			this.entryCounts.add(count);
		}

	}

}
