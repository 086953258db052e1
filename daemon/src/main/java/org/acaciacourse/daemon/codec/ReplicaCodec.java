package org.acaciacourse.daemon.codec;

import java.util.List;
import java.util.Optional;

import io.vavr.control.Try;
import org.acaciacourse.core.consensus.HardState;
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
import org.acaciacourse.protocol.generated.AppendReplyBody;
import org.acaciacourse.protocol.generated.AppendRequestBody;
import org.acaciacourse.protocol.generated.HardStateRecord;
import org.acaciacourse.protocol.generated.LogRecord;
import org.acaciacourse.protocol.generated.MemberRecord;
import org.acaciacourse.protocol.generated.ReplicaBody;
import org.acaciacourse.protocol.generated.ReplicaEnvelope;
import org.acaciacourse.protocol.generated.SnapshotRecord;
import org.acaciacourse.protocol.generated.SnapshotRequestBody;
import org.acaciacourse.protocol.generated.TimeoutNowBody;
import org.acaciacourse.protocol.generated.VoteReplyBody;
import org.acaciacourse.protocol.generated.VoteRequestBody;

/**
 * Converts the types of the replicated log to and from Thrift structs.
 * <p>
 * Thread safe: stateless.
 */
public final class ReplicaCodec {

	private ReplicaCodec() {
	}

	/**
	 * Encode a member.
	 * @param member the member
	 * @return the struct
	 */
	public static MemberRecord encode(Member member) {
		return new MemberRecord(member.id().value(), member.vm(), member.address(), member.voter());
	}

	/**
	 * Decode a member.
	 * @param member the struct
	 * @return the member
	 */
	public static Member decode(MemberRecord member) {
		return new Member(new ReplicaId(member.getId()), member.getVm(), member.getAddress(), member.isVoter());
	}

	/**
	 * Encode a membership.
	 * @param membership the membership
	 * @return the structs
	 */
	public static List<MemberRecord> encode(Membership membership) {
		return membership.members().stream().map(ReplicaCodec::encode).toList();
	}

	/**
	 * Decode a membership.
	 * @param members the structs
	 * @return the membership
	 */
	public static Membership decode(List<MemberRecord> members) {
		return new Membership(members.stream().map(ReplicaCodec::decode).toList());
	}

	/**
	 * Encode a hard state.
	 * @param state the state
	 * @return the struct
	 */
	public static HardStateRecord encode(HardState state) {
		HardStateRecord struct = new HardStateRecord();
		struct.setTerm(state.term());
		state.votedFor().ifPresent((id) -> struct.setVotedFor(id.value()));
		return struct;
	}

	/**
	 * Decode a hard state.
	 * @param state the struct
	 * @return the state
	 */
	public static HardState decode(HardStateRecord state) {
		Optional<ReplicaId> votedFor = (state.isSetVotedFor()) ? Optional.of(new ReplicaId(state.getVotedFor()))
				: Optional.empty();
		return new HardState(state.getTerm(), votedFor);
	}

	/**
	 * Encode an entry of the log.
	 * @param entry the entry
	 * @return the struct
	 */
	public static LogRecord encode(LogEntry entry) {
		LogRecord struct = new LogRecord();
		struct.setIndex(entry.index()).setTerm(entry.term()).setKind(entry.kind().ordinal());
		return struct.setPayload(entry.payload());
	}

	/**
	 * Decode an entry of the log.
	 * @param entry the struct
	 * @return the entry
	 */
	public static LogEntry decode(LogRecord entry) {
		LogEntry.Kind[] kinds = LogEntry.Kind.values();
		if (entry.getKind() < 0 || entry.getKind() >= kinds.length) {
			throw new IllegalArgumentException("unknown kind of log entry: " + entry.getKind());
		}
		return new LogEntry(entry.getIndex(), entry.getTerm(), kinds[entry.getKind()], entry.getPayload());
	}

	/**
	 * Encode a snapshot.
	 * @param snapshot the snapshot
	 * @return the struct
	 */
	public static SnapshotRecord encode(Snapshot snapshot) {
		SnapshotRecord struct = new SnapshotRecord();
		struct.setIndex(snapshot.index()).setTerm(snapshot.term()).setMembers(encode(snapshot.membership()));
		return struct.setState(snapshot.state());
	}

	/**
	 * Decode a snapshot.
	 * @param snapshot the struct
	 * @return the snapshot
	 */
	public static Snapshot decode(SnapshotRecord snapshot) {
		return new Snapshot(snapshot.getIndex(), snapshot.getTerm(), decode(snapshot.getMembers()),
				snapshot.getState());
	}

	/**
	 * Encode a message.
	 * @param message the message
	 * @param receiver the replica that it is addressed to
	 * @return the struct
	 */
	public static ReplicaEnvelope encode(ReplicaMessage message, ReplicaId receiver) {
		return new ReplicaEnvelope(message.from().value(), message.term(), body(message), receiver.value());
	}

	private static ReplicaBody body(ReplicaMessage message) {
		if (message instanceof VoteRequest m) {
			return ReplicaBody
				.voteRequest(new VoteRequestBody(m.lastIndex(), m.lastTerm(), m.preVote(), m.leadershipTransfer()));
		}
		if (message instanceof VoteReply m) {
			return ReplicaBody.voteReply(new VoteReplyBody(m.preVote(), m.granted()));
		}
		if (message instanceof AppendRequest m) {
			List<LogRecord> entries = m.entries().stream().map(ReplicaCodec::encode).toList();
			return ReplicaBody.appendRequest(
					new AppendRequestBody(m.previousIndex(), m.previousTerm(), entries, m.commitIndex(), m.round()));
		}
		if (message instanceof AppendReply m) {
			return ReplicaBody.appendReply(new AppendReplyBody(m.success(), m.matchIndex(), m.round()));
		}
		if (message instanceof SnapshotRequest m) {
			return ReplicaBody.snapshotRequest(new SnapshotRequestBody(encode(m.snapshot()), m.round()));
		}
		return ReplicaBody.timeoutNow(new TimeoutNowBody());
	}

	/**
	 * Decode a message.
	 * @param envelope the struct
	 * @return the message, or a failure if the struct is invalid
	 */
	public static Try<ReplicaMessage> decode(ReplicaEnvelope envelope) {
		return Try.of(() -> {
			ReplicaId from = new ReplicaId(envelope.getSender());
			return message(from, envelope.getTerm(), envelope.getBody());
		});
	}

	private static ReplicaMessage message(ReplicaId from, long term, ReplicaBody body) {
		return switch (body.getSetField()) {
			case VOTE_REQUEST -> {
				VoteRequestBody b = body.getVoteRequest();
				yield new VoteRequest(from, term, b.getLastIndex(), b.getLastTerm(), b.isPreVote(),
						b.isLeadershipTransfer());
			}
			case VOTE_REPLY ->
				new VoteReply(from, term, body.getVoteReply().isPreVote(), body.getVoteReply().isGranted());
			case APPEND_REQUEST -> {
				AppendRequestBody b = body.getAppendRequest();
				List<LogEntry> entries = b.getEntries().stream().map(ReplicaCodec::decode).toList();
				yield new AppendRequest(from, term, b.getPreviousIndex(), b.getPreviousTerm(), entries,
						b.getCommitIndex(), b.getRound());
			}
			case APPEND_REPLY -> {
				AppendReplyBody b = body.getAppendReply();
				yield new AppendReply(from, term, b.isSuccess(), b.getMatchIndex(), b.getRound());
			}
			case SNAPSHOT_REQUEST -> new SnapshotRequest(from, term, decode(body.getSnapshotRequest().getSnapshot()),
					body.getSnapshotRequest().getRound());
			case TIMEOUT_NOW -> new TimeoutNow(from, term);
		};
	}

}
