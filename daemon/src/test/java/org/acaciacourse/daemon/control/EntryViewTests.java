package org.acaciacourse.daemon.control;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.vavr.control.Try;
import org.acaciacourse.core.dispatch.EndpointStatus;
import org.acaciacourse.core.model.Manifest;
import org.acaciacourse.core.state.ClaimKey;
import org.acaciacourse.core.state.ClaimOutcome;
import org.acaciacourse.core.state.Command;
import org.acaciacourse.core.state.ControlState;
import org.acaciacourse.daemon.link.ControlLink;
import org.acaciacourse.daemon.link.ThriftControlLink;
import org.acaciacourse.protocol.generated.EndpointNotice;
import org.acaciacourse.protocol.generated.EntryStatus;
import org.acaciacourse.protocol.generated.PollRequest;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;

class EntryViewTests {

	private static PollRequest poll(String vm, String run, long number) {
		return new PollRequest(vm, run, "accra-a", number, "", 0, 0, List.of(), false, false, 0, "");
	}

	@Nested
	class Registry {

		private final EntryRegistry registry = new EntryRegistry();

		@Test
		void countsAnEntryOnceWhereverItPolls() {
			// An entry VM moves from an unresponsive control VM to another, and both list
			// it for some seconds. If it were counted twice, its customers' limits would
			// be halved.
			EntryRegistry other = new EntryRegistry();
			other.recordPoll(poll("entry-1", "run-1", 4), 1000);
			this.registry.recordPoll(poll("entry-1", "run-1", 5), 3000);
			this.registry.recordPoll(poll("entry-2", "run-2", 5), 3000);
			this.registry.updateFromPeer("127.0.0.1:2", other.localEntries(false, 3000), 3000);
			assertThat(this.registry.liveVmCount(3000)).isEqualTo(2);
			assertThat(this.registry.liveEntries(3000).stream().map(EntryStatus::getNumber).toList())
				.containsExactly(5L, 5L);
		}

		@Test
		void expiresASilentEntryButNotOneInALongPoll() {
			this.registry.recordPoll(poll("entry-1", "run-1", 1), 0);
			this.registry.recordPoll(poll("entry-2", "run-2", 1), 0);
			this.registry.refreshLastSeen("run-2", 8000);
			long later = EntryRegistry.EXPIRY_MILLIS + 1;
			assertThat(this.registry.liveOwners(later)).containsExactly("run-2");
			assertThat(new EntryRegistry().liveVmCount(later)).isEqualTo(1);
		}

	}

	@Nested
	class SilentRuns {

		@Test
		void areThoseWithOldClaimsInProgressOnly() {
			// An entry VM crashes between the claim and the response, and its run stops
			// polling. Its claims must become unknown, those of a live run must not.
			ControlState state = new ControlState();
			state.apply(1, new Command.Claim(1000, new ClaimKey("kumasi", "a"), "h", "entry-1/1#1"));
			state.apply(2, new Command.Claim(1000, new ClaimKey("kumasi", "b"), "h", "entry-2/1#1"));
			state.apply(3, new Command.Claim(1000, new ClaimKey("kumasi", "c"), "h", "entry-3/1#1"));
			state.apply(4, new Command.CompleteClaim(1000, new ClaimKey("kumasi", "c"), "entry-3/1#1",
					ClaimOutcome.NOT_RUN, new byte[0]));
			Set<String> alive = Set.of("entry-2/1");
			assertThat(RegistryExchange.expiredRuns(state, alive, 1000 + EntryRegistry.EXPIRY_MILLIS)).isEmpty();
			assertThat(RegistryExchange.expiredRuns(state, alive, 1001 + EntryRegistry.EXPIRY_MILLIS))
				.containsExactly("entry-1/1");
		}

	}

	@Nested
	class ListOfThePlatform {

		private final PlatformList list = new PlatformList(Optional.of("unused"));

		@Test
		void appliesOnlyExplicitStates() throws Exception {
			this.list.update("""
					{"vms": [], "endpoints": [{"name": "draftmind-1", "state": "live"},
					{"name": "draftmind-2", "state": "leaving"}, {"name": "draftmind-3", "state": "gone"}]}""");
			EndpointNotice leaving = new EndpointNotice("draftmind-2", EndpointStatus.LEAVING.ordinal());
			EndpointNotice gone = new EndpointNotice("draftmind-3", EndpointStatus.GONE.ordinal());
			assertThat(this.list.notices()).containsExactly(leaving, gone);
			this.list.update("{\"endpoints\": [{\"name\": \"draftmind-3\", \"state\": \"live\"}]}");
			assertThat(this.list.notices()).containsExactly(leaving);
		}

		@Test
		void ignoresAnEmptyOrInvalidList() throws Exception {
			// After a fault of the platform its list is empty or truncated. Applying it
			// as complete would take every endpoint out of service at once, or send
			// requests to a leaving one.
			this.list.update("{\"endpoints\": [{\"name\": \"draftmind-2\", \"state\": \"leaving\"}]}");
			List<EndpointNotice> before = this.list.notices();
			this.list.update("{\"endpoints\": []}");
			for (String broken : List.of("{}", "{\"endpoints\": [{", "")) {
				assertThat(Try.run(() -> this.list.update(broken)).isFailure()).isTrue();
			}
			assertThat(this.list.notices()).isEqualTo(before);
		}

		@Test
		void changeEndsAWaitingPoll(@TempDir Path folder) throws Exception {
			// The list marks an endpoint as leaving while an entry VM's long poll is
			// waiting: the poll must return at once, and the notice must be withdrawn
			// when the endpoint is live again.
			Path file = folder.resolve("list.json");
			Files.writeString(file, "{\"endpoints\": []}");
			try (ControlCluster cluster = new ControlCluster(folder, 1).platformList(file).startAll();
					ControlLink link = new ThriftControlLink(cluster.link("entry-1"))) {
				cluster.apply(ControlCluster.manifest(1, "urgent"));
				StatusRecorder notes = new StatusRecorder();
				link.start(notes, List::of);
				Files.writeString(file, "{\"endpoints\": [{\"name\": \"draftmind-1\", \"state\": \"leaving\"}]}");
				ControlCluster.await("leaving", () -> notes.last() == EndpointStatus.LEAVING);
				Files.writeString(file, "{\"endpoints\": [{\"name\": \"draftmind-1\", \"state\": \"live\"}]}");
				ControlCluster.await("live again", () -> notes.last() == EndpointStatus.LIVE);
			}
		}

	}

	/** Records the latest status. */
	static final class StatusRecorder implements ControlLink.Listener {

		private volatile EndpointStatus last;

		private EndpointStatus last() {
			return this.last;
		}

		@Override
		public void manifestChanged(Manifest manifest) {
		}

		@Override
		public void upToDate() {
		}

		@Override
		public void endpointStatusChanged(String endpoint, EndpointStatus status) {
			this.last = status;
		}

		@Override
		public void crashReported(long contentHash, int crashes) {
		}

		@Override
		public void entryCountChanged(int count) {
		}

	}

}
