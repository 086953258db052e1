package org.acaciacourse.daemon.codec;

import io.vavr.control.Try;
import org.acaciacourse.core.state.ClaimKey;
import org.acaciacourse.core.state.ClaimOutcome;
import org.acaciacourse.core.state.Command;
import org.acaciacourse.core.state.Command.AcquireLease;
import org.acaciacourse.core.state.Command.Claim;
import org.acaciacourse.core.state.Command.CompleteClaim;
import org.acaciacourse.core.state.Command.EndOwner;
import org.acaciacourse.core.state.Command.FreezeUsage;
import org.acaciacourse.core.state.Command.PutManifest;
import org.acaciacourse.core.state.Command.RecordProvision;
import org.acaciacourse.core.state.Command.ReleaseLease;
import org.acaciacourse.core.state.Command.ReportCrash;
import org.acaciacourse.protocol.generated.AcquireLeaseCommand;
import org.acaciacourse.protocol.generated.ClaimCommand;
import org.acaciacourse.protocol.generated.CommandBody;
import org.acaciacourse.protocol.generated.CommandRecord;
import org.acaciacourse.protocol.generated.CompleteClaimCommand;
import org.acaciacourse.protocol.generated.EndOwnerCommand;
import org.acaciacourse.protocol.generated.FreezeUsageCommand;
import org.acaciacourse.protocol.generated.ProvisionRecord;
import org.acaciacourse.protocol.generated.PutManifestCommand;
import org.acaciacourse.protocol.generated.ReleaseLeaseCommand;
import org.acaciacourse.protocol.generated.ReportCrashCommand;

/**
 * Converts commands of the replicated state machine to and from the payload of log
 * entries.
 * <p>
 * Thread safe: stateless.
 */
public final class CommandCodec {

	private CommandCodec() {
	}

	/**
	 * Encode a command.
	 * @param command the command
	 * @return the payload
	 */
	public static byte[] encode(Command command) {
		return ThriftBytes.encode(new CommandRecord(command.proposedAt(), body(command)));
	}

	private static CommandBody body(Command command) {
		if (command instanceof PutManifest c) {
			return CommandBody.putManifest(new PutManifestCommand(c.number(), c.digest(), c.baseDigest(),
					ManifestCodec.encode(c.delta()), c.operator()));
		}
		if (command instanceof AcquireLease c) {
			return CommandBody.acquireLease(encode(c));
		}
		if (command instanceof ReleaseLease c) {
			return CommandBody.releaseLease(new ReleaseLeaseCommand(c.lease(), c.holder(), c.fencingNumber()));
		}
		if (command instanceof Claim c) {
			return CommandBody
				.claim(new ClaimCommand(c.key().customer(), c.key().idempotencyKey(), c.contentHash(), c.owner()));
		}
		if (command instanceof CompleteClaim c) {
			CompleteClaimCommand struct = new CompleteClaimCommand();
			struct.setCustomer(c.key().customer()).setIdempotencyKey(c.key().idempotencyKey()).setOwner(c.owner());
			return CommandBody.completeClaim(struct.setOutcome(c.outcome().ordinal()).setAnswer(c.response()));
		}
		if (command instanceof EndOwner c) {
			return CommandBody.endOwner(new EndOwnerCommand(c.owner()));
		}
		if (command instanceof FreezeUsage c) {
			return CommandBody.freezeUsage(new FreezeUsageCommand(UsageCodec.encode(c.report()), c.reportedThrough()));
		}
		if (command instanceof RecordProvision c) {
			return CommandBody.recordProvision(ProvisionCodec.encode(c.pool(), c.provision()));
		}
		ReportCrash c = (ReportCrash) command;
		return CommandBody.reportCrash(new ReportCrashCommand(c.contentHash(), c.crashes()));
	}

	/**
	 * Decode a command.
	 * @param payload the payload of a log entry
	 * @return the command, or a failure if the payload is not a valid command
	 */
	public static Try<Command> decode(byte[] payload) {
		return ThriftBytes.decode(payload, new CommandRecord())
			.mapTry((struct) -> command(struct.getProposedAt(), struct.getBody()));
	}

	private static Command command(long proposedAt, CommandBody body) {
		return switch (body.getSetField()) {
			case PUT_MANIFEST -> {
				PutManifestCommand c = body.getPutManifest();
				yield new PutManifest(proposedAt, c.getNumber(), c.getDigest(), c.getBaseDigest(),
						ManifestCodec.decode(c.getDelta()), c.getOperatorName());
			}
			case ACQUIRE_LEASE -> acquireLease(proposedAt, body.getAcquireLease());
			case RELEASE_LEASE -> releaseLease(proposedAt, body.getReleaseLease());
			case CLAIM -> claim(proposedAt, body.getClaim());
			case COMPLETE_CLAIM -> completeClaim(proposedAt, body.getCompleteClaim());
			case END_OWNER -> new EndOwner(proposedAt, body.getEndOwner().getOwner());
			case REPORT_CRASH -> reportCrash(proposedAt, body.getReportCrash());
			case RECORD_PROVISION -> recordProvision(proposedAt, body.getRecordProvision());
			case FREEZE_USAGE -> freezeUsage(proposedAt, body.getFreezeUsage());
		};
	}

	/**
	 * Encode a request to acquire a lease.
	 * @param command the command, whose time is left out
	 * @return the struct
	 */
	public static AcquireLeaseCommand encode(AcquireLease command) {
		return new AcquireLeaseCommand(command.lease(), command.holder(), command.durationMillis()).setVm(command.vm())
			.setReturnMillis(command.returnMillis())
			.setTimedNumber(command.timedNumber());
	}

	/**
	 * Decode a request to acquire a lease.
	 * @param proposedAt the proposer's wall-clock time
	 * @param struct the struct
	 * @return the command
	 */
	public static AcquireLease acquireLease(long proposedAt, AcquireLeaseCommand struct) {
		String vm = (struct.isSetVm()) ? struct.getVm() : struct.getHolder();
		return new AcquireLease(proposedAt, struct.getLease(), struct.getHolder(), struct.getDurationMillis(), vm,
				struct.getReturnMillis(), struct.isTimedNumber());
	}

	/**
	 * Decode a request to release a lease.
	 * @param proposedAt the proposer's wall-clock time
	 * @param struct the struct
	 * @return the command
	 */
	public static ReleaseLease releaseLease(long proposedAt, ReleaseLeaseCommand struct) {
		return new ReleaseLease(proposedAt, struct.getLease(), struct.getHolder(), struct.getFencingNumber());
	}

	/**
	 * Decode a request to claim.
	 * @param proposedAt the proposer's wall-clock time
	 * @param struct the struct
	 * @return the command
	 */
	public static Claim claim(long proposedAt, ClaimCommand struct) {
		ClaimKey key = new ClaimKey(struct.getCustomer(), struct.getIdempotencyKey());
		return new Claim(proposedAt, key, struct.getContentHash(), struct.getOwner());
	}

	/**
	 * Decode a request to complete a claim.
	 * @param proposedAt the proposer's wall-clock time
	 * @param struct the struct
	 * @return the command
	 */
	public static CompleteClaim completeClaim(long proposedAt, CompleteClaimCommand struct) {
		ClaimKey key = new ClaimKey(struct.getCustomer(), struct.getIdempotencyKey());
		return new CompleteClaim(proposedAt, key, struct.getOwner(), outcome(struct.getOutcome()), struct.getAnswer());
	}

	/**
	 * Decode a crash report.
	 * @param proposedAt the proposer's wall-clock time
	 * @param struct the struct
	 * @return the command
	 */
	public static ReportCrash reportCrash(long proposedAt, ReportCrashCommand struct) {
		return new ReportCrash(proposedAt, struct.getContentHash(), struct.getCrashes());
	}

	/**
	 * Decode a request to fix the usage of a window.
	 * @param proposedAt the proposer's wall-clock time
	 * @param struct the struct
	 * @return the command
	 */
	public static FreezeUsage freezeUsage(long proposedAt, FreezeUsageCommand struct) {
		return new FreezeUsage(proposedAt, UsageCodec.decode(struct.getUsage()), struct.getReportedThrough());
	}

	/**
	 * Decode a request to record the provision of a pool.
	 * @param proposedAt the proposer's wall-clock time
	 * @param struct the struct
	 * @return the command
	 */
	public static RecordProvision recordProvision(long proposedAt, ProvisionRecord struct) {
		return new RecordProvision(proposedAt, struct.getPool(), ProvisionCodec.decode(struct));
	}

	/**
	 * Decode an outcome.
	 * @param ordinal its ordinal
	 * @return the outcome
	 */
	public static ClaimOutcome outcome(int ordinal) {
		ClaimOutcome[] outcomes = ClaimOutcome.values();
		if (ordinal < 0 || ordinal >= outcomes.length) {
			throw new IllegalArgumentException("unknown claim outcome: " + ordinal);
		}
		return outcomes[ordinal];
	}

}
