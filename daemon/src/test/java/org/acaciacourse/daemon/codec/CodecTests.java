package org.acaciacourse.daemon.codec;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

import io.vavr.control.Try;
import org.acaciacourse.core.consensus.LogEntry;
import org.acaciacourse.core.consensus.Member;
import org.acaciacourse.core.consensus.Membership;
import org.acaciacourse.core.consensus.ReplicaId;
import org.acaciacourse.core.consensus.ReplicaMessage;
import org.acaciacourse.core.consensus.ReplicaMessage.AppendReply;
import org.acaciacourse.core.consensus.ReplicaMessage.AppendRequest;
import org.acaciacourse.core.consensus.ReplicaMessage.SnapshotRequest;
import org.acaciacourse.core.consensus.ReplicaMessage.TimeoutNow;
import org.acaciacourse.core.consensus.ReplicaMessage.VoteReply;
import org.acaciacourse.core.consensus.ReplicaMessage.VoteRequest;
import org.acaciacourse.core.consensus.Snapshot;
import org.acaciacourse.core.manifest.ManifestDocument;
import org.acaciacourse.core.scaling.PoolProvision;
import org.acaciacourse.core.state.ClaimKey;
import org.acaciacourse.core.state.ClaimOutcome;
import org.acaciacourse.core.state.Command;
import org.acaciacourse.core.state.ControlState;
import org.acaciacourse.core.state.ControlStateSnapshot.UsageState;
import org.acaciacourse.core.usage.UsageReport;
import org.acaciacourse.protocol.generated.ReplicaEnvelope;
import org.acaciacourse.protocol.generated.StateRecord;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class CodecTests {

	private static final ReplicaId ID = new ReplicaId(Long.MAX_VALUE);

	private static final Membership MEMBERS = new Membership(
			List.of(new Member(ID, "control-1", "127.0.0.1:1", true), new Member(new ReplicaId(2), "b", "c", false)));

	private static Command.PutManifest put(long number) {
		TreeMap<String, String> keys = new TreeMap<>();
		keys.put("number", Long.toString(number));
		TreeMap<String, SortedMap<String, String>> sections = new TreeMap<>();
		sections.put("manifest", keys);
		ManifestDocument document = new ManifestDocument(sections);
		ManifestDocument base = ManifestDocument.empty();
		return new Command.PutManifest(5, number, document.digest(), base.digest(), base.deltaTo(document), "pipeline");
	}

	private static List<Command> commands() {
		ClaimKey key = new ClaimKey("kumasi", "case-7");
		return List.of(put(1), new Command.AcquireLease(6, "orders", "run-1", 9000),
				new Command.Claim(7, key, "hash", "run-1#1"),
				new Command.CompleteClaim(8, key, "run-1#1", ClaimOutcome.ANSWERED, new byte[] { 1, 2 }),
				new Command.ReportCrash(9, -4, 2), new Command.EndOwner(10, "run-1"),
				new Command.ReleaseLease(11, "orders", "run-1", 1),
				new Command.AcquireLease(12, "usage", "run-2", 3000, "vm-2", 3300, true),
				new Command.FreezeUsage(13, new UsageReport(353_445_120, Map.of("kumasi", 412L, "tema", 3L)), 7),
				new Command.RecordProvision(14, "pool", new PoolProvision(Map.of("a", 21, "b", 3), Set.of("b"))));
	}

	@Nested
	class Messages {

		@Test
		void surviveARoundTrip() {
			LogEntry noop = new LogEntry(8, 2, LogEntry.Kind.NOOP, new byte[0]);
			List<ReplicaMessage> messages = List.of(new VoteRequest(ID, 3, 8, 2, true, false),
					new VoteReply(ID, 3, false, true), new AppendRequest(ID, 3, 7, 2, List.of(), 6, 40),
					new AppendReply(ID, 3, false, 6, 40), new TimeoutNow(ID, 3));
			messages.forEach((message) -> assertThat(roundTrip(message)).isEqualTo(message));
			AppendRequest append = (AppendRequest) roundTrip(new AppendRequest(ID, 3, 7, 2, List.of(noop), 6, 40));
			assertThat(append.entries().get(0).kind()).isEqualTo(LogEntry.Kind.NOOP);
			Snapshot snapshot = new Snapshot(9, 2, MEMBERS, new byte[] { 7 });
			SnapshotRequest request = (SnapshotRequest) roundTrip(new SnapshotRequest(ID, 3, snapshot, 41));
			assertThat(request.snapshot().membership()).isEqualTo(MEMBERS);
			assertThat(request.snapshot().state()).isEqualTo(snapshot.state());
		}

		private ReplicaMessage roundTrip(ReplicaMessage message) {
			byte[] bytes = ThriftBytes.encode(ReplicaCodec.encode(message, ID));
			return ThriftBytes.decode(bytes, new ReplicaEnvelope()).flatMap(ReplicaCodec::decode).get();
		}

		@Test
		void malformedBytesDecodeToAFailure() {
			// A client that is not a replica connects to the port, or a frame is
			// truncated. Decoding must end with a failure for any bytes, without
			// allocating the sizes they announce.
			Random random = new Random(4);
			byte[] good = ThriftBytes.encode(ReplicaCodec.encode(new TimeoutNow(ID, 3), ID));
			for (int size = 0; size < good.length; size++) {
				assertThat(decode(Arrays.copyOf(good, size)).isFailure()).isTrue();
			}
			for (int i = 0; i < 5000; i++) {
				byte[] bytes = Arrays.copyOf(good, good.length);
				bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
				Try<ReplicaMessage> message = decode(bytes);
				assertThat(message.isFailure() || message.get().from().value() > 0).isTrue();
			}
		}

		private Try<ReplicaMessage> decode(byte[] bytes) {
			return ThriftBytes.decode(bytes, new ReplicaEnvelope()).flatMap(ReplicaCodec::decode);
		}

	}

	@Nested
	class CommandsAndState {

		@Test
		void commandsSurviveARoundTrip() {
			for (Command command : commands()) {
				Command back = CommandCodec.decode(CommandCodec.encode(command)).get();
				assertThat(CommandCodec.encode(back)).isEqualTo(CommandCodec.encode(command));
				assertThat(back.getClass()).isEqualTo(command.getClass());
				assertThat(back.proposedAt()).isEqualTo(command.proposedAt());
			}
		}

		@Test
		void restoredStateEqualsTheOriginal() {
			ControlState state = new ControlState();
			long index = 1;
			for (Command command : commands()) {
				state.apply(index++, command);
			}
			byte[] bytes = StateCodec.encode(state.snapshot());
			ControlState restored = ControlState.restore(StateCodec.decode(bytes).get());
			assertThat(StateCodec.encode(restored.snapshot())).isEqualTo(bytes);
			assertThat(restored.manifestDigest()).isEqualTo(put(1).digest());
			assertThat(restored.claim(new ClaimKey("kumasi", "case-7")).flatMap((claim) -> claim.response()))
				.isEqualTo(Optional.of(restored.claim(new ClaimKey("kumasi", "case-7")).get().response().get()));
			assertThat(restored.statistics()).isEqualTo(state.statistics());
			assertThat(restored.snapshot().formerHolders()).isEqualTo(state.snapshot().formerHolders());
			assertThat(restored.snapshot().leases()).isEqualTo(state.snapshot().leases());
			assertThat(restored.usage()).isEqualTo(state.usage());
			assertThat(restored.provisions()).isEqualTo(state.provisions());
		}

		// Guards against a control VM that cannot start from the snapshot of an older
		// release.
		@Test
		void snapshotWithoutUsageAndFormerHoldersIsRead() {
			ControlState state = new ControlState();
			state.apply(1, new Command.AcquireLease(6, "orders", "run-1", 9000));
			StateRecord struct = ThriftBytes.decode(StateCodec.encode(state.snapshot()), new StateRecord()).get();
			struct.unsetUsage();
			struct.unsetProvisions();
			struct.unsetFormerHolders();
			struct.getLeases().forEach((lease) -> lease.unsetVm());
			ControlState restored = ControlState.restore(StateCodec.decode(ThriftBytes.encode(struct)).get());
			assertThat(restored.usage()).isEqualTo(UsageState.EMPTY);
			assertThat(restored.lease("orders").get().vm()).isEqualTo("run-1");
		}

	}

}
